package io.lentilstream.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

import io.lentilstream.settings.process.ProcessSettings;
import io.lentilstream.settings.process.SettingsFileMistake;
import io.lentilstream.settings.process.SettingsResult;

/**
 * The command that validates a settings file of an entry daemon or stand-in platform.
 */
@Parameters(commandDescription = "Check a settings file of an entry daemon or a stand-in platform")
final class CheckCommand implements Command {

	@Parameter(names = "--settings", description = "Settings file to check")
	private String settingsFile;

	@Parameter(names = "--json", description = "Print the result as JSON")
	private boolean json;

	@Parameter(names = "--describe", description = "Print the documentation of all settings instead")
	private boolean describe;

	@Override
	public ExitCode run(CommandContext context) {
		if (this.describe) {
			context.out().print(ProcessSettings.documentation());
			return ExitCode.SUCCESS;
		}
		if (this.settingsFile == null) {
			context.err().println("check: --settings is missing; see lentilstream check --help");
			return ExitCode.USAGE;
		}
		SettingsResult<?> result = ProcessSettings.check(Path.of(this.settingsFile));
		List<SettingsFileMistake> mistakes = (result instanceof SettingsResult.Invalid<?> invalid) ? invalid.mistakes()
				: List.of();
		if (this.json) {
			context.out().println(json(mistakes));
		}
		else {
			mistakes.forEach((mistake) -> context.err().println(mistake.line()));
			if (mistakes.isEmpty()) {
				context.out().println(this.settingsFile + ": no mistakes");
			}
		}
		return mistakes.isEmpty() ? ExitCode.SUCCESS : ExitCode.USAGE;
	}

	private String json(List<SettingsFileMistake> mistakes) {
		try {
			return new ObjectMapper().writeValueAsString(
					Map.of("file", this.settingsFile, "valid", mistakes.isEmpty(), "mistakes", mistakes));
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("result cannot be written as JSON", ex);
		}
	}

}
