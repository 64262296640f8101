package io.lentilstream.cli;

import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.google.common.flogger.FluentLogger;

import io.lentilstream.entry.EntryDaemon;
import io.lentilstream.entry.EntryOptions;
import io.lentilstream.settings.process.EntrySettings;
import io.lentilstream.settings.process.SettingsResult;

/**
 * The command that runs an entry daemon until the process receives a stop signal, an
 * operator drains the daemon or an invariant is violated.
 */
@Parameters(commandDescription = "Run one entry daemon until the process is asked to stop")
final class EntryCommand implements Command {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	private static final long DRAIN_TIMEOUT_SECONDS = 55;

	@Parameter(names = "--settings", required = true, description = "Settings file of the entry daemon")
	private String settingsFile;

	@Override
	public ExitCode run(CommandContext context) {
		SettingsResult<EntrySettings> result = EntrySettings.load(Path.of(this.settingsFile));
		if (result instanceof SettingsResult.Invalid<EntrySettings> invalid) {
			invalid.mistakes().forEach((mistake) -> context.err().println(mistake.line()));
			return ExitCode.USAGE;
		}
		EntrySettings loaded = ((SettingsResult.Loaded<EntrySettings>) result).settings();
		LogSetup.apply(loaded.logFormat());
		CompletableFuture<Throwable> brokenInvariant = new CompletableFuture<>();
		EntryDaemon daemon = new EntryDaemon(loaded, EntryOptions.of(new SecureRandom(), brokenInvariant::complete));
		daemon.start();
		awaitStopOrFailure(context, daemon, brokenInvariant);
		if (brokenInvariant.isDone()) {
			LOGGER.atSevere()
				.withCause(brokenInvariant.join())
				.log("entry: stopping the process after an invariant violation");
			return ExitCode.FAILED;
		}
		boolean drained = drain(daemon);
		daemon.close();
		return drained ? ExitCode.SUCCESS : ExitCode.FAILED;
	}

	private static void awaitStopOrFailure(CommandContext context, EntryDaemon daemon,
			CompletableFuture<Throwable> brokenInvariant) {
		CompletableFuture<Void> stop = CompletableFuture.runAsync(() -> context.stop().await());
		CompletableFuture.anyOf(stop, daemon.drained(), brokenInvariant).join();
	}

	private static boolean drain(EntryDaemon daemon) {
		try {
			daemon.drain().get(DRAIN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
			return true;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
		catch (ExecutionException | TimeoutException ex) {
			LOGGER.atSevere().withCause(ex).log("entry: drain failed or timed out");
			return false;
		}
	}

}
