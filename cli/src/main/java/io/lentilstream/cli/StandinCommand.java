package io.lentilstream.cli;

import java.nio.file.Path;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.google.common.flogger.FluentLogger;

import io.lentilstream.model.MonotonicClock;
import io.lentilstream.settings.process.SettingsResult;
import io.lentilstream.settings.process.StandinSettings;
import io.lentilstream.standin.StandinPlatform;

/**
 * The command that runs a stand-in platform until the process receives a stop signal.
 * Prints the base URL on the standard output once the platform listens.
 */
@Parameters(commandDescription = "Run a stand-in platform until the process is asked to stop")
final class StandinCommand implements Command {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	@Parameter(names = "--settings", required = true, description = "Settings file of the stand-in platform")
	private String settingsFile;

	@Override
	public ExitCode run(CommandContext context) {
		SettingsResult<StandinSettings> result = StandinSettings.load(Path.of(this.settingsFile));
		if (result instanceof SettingsResult.Invalid<StandinSettings> invalid) {
			invalid.mistakes().forEach((mistake) -> context.err().println(mistake.line()));
			return ExitCode.USAGE;
		}
		StandinSettings loaded = ((SettingsResult.Loaded<StandinSettings>) result).settings();
		LogSetup.apply(loaded.logFormat());
		StandinPlatform platform = StandinPlatform.of(loaded, MonotonicClock.system());
		platform.start();
		LOGGER.atInfo().log("standin: listening on %s", platform.baseUrl());
		context.out().println(platform.baseUrl());
		context.out().flush();
		context.stop().await();
		platform.stop();
		LOGGER.atInfo().log("standin: stopped");
		return ExitCode.SUCCESS;
	}

}
