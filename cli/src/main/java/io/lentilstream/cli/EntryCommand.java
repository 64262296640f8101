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
 * Runs one entry daemon until the process is asked to stop or an operator drains it.
 */
@Parameters(commandDescription = "Run one entry daemon until the process is asked to stop")
final class EntryCommand implements Command {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	private static final long DRAIN_SECONDS = 55;

	@Parameter(names = "--settings", required = true, description = "Settings file of the entry daemon")
	private String settings;

	@Override
	public ExitCode run(CommandContext context) {
		SettingsResult<EntrySettings> result = EntrySettings.load(Path.of(this.settings));
		if (result instanceof SettingsResult.Invalid<EntrySettings> invalid) {
			invalid.mistakes().forEach((mistake) -> context.err().println(mistake.line()));
			return ExitCode.USAGE;
		}
		EntrySettings loaded = ((SettingsResult.Loaded<EntrySettings>) result).settings();
		LogSetup.apply(loaded.logFormat());
		CompletableFuture<Throwable> brokenInvariant = new CompletableFuture<>();
		EntryDaemon daemon = new EntryDaemon(loaded, EntryOptions.of(new SecureRandom(), brokenInvariant::complete));
		daemon.start();
		awaitEnd(context, daemon, brokenInvariant);
		if (brokenInvariant.isDone()) {
			LOGGER.atSevere().withCause(brokenInvariant.join()).log("entry: a broken invariant stops the process.");
			return ExitCode.FAILED;
		}
		boolean drained = drain(daemon);
		daemon.close();
		return drained ? ExitCode.SUCCESS : ExitCode.FAILED;
	}

	private static void awaitEnd(CommandContext context, EntryDaemon daemon,
			CompletableFuture<Throwable> brokenInvariant) {
		CompletableFuture<Void> stop = CompletableFuture.runAsync(() -> context.stop().await());
		CompletableFuture.anyOf(stop, daemon.drained(), brokenInvariant).join();
	}

	private static boolean drain(EntryDaemon daemon) {
		try {
			daemon.drain().get(DRAIN_SECONDS, TimeUnit.SECONDS);
			return true;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
		catch (ExecutionException | TimeoutException ex) {
			LOGGER.atSevere().withCause(ex).log("entry: the drain did not end in time.");
			return false;
		}
	}

}
