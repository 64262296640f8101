package io.lentilstream.cli;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.lentilstream.settings.process.LogFormat;

/**
 * The entry point of the command line.
 */
public final class Lentilstream {

	/**
	 * Limits the time from a stop signal to the end of the command. Requests in flight
	 * may run until their deadlines, which are shorter than this limit.
	 */
	private static final long STOP_TIMEOUT_SECONDS = 60;

	private Lentilstream() {
	}

	/**
	 * Runs a command and exits with its status. SIGTERM and SIGINT request the command to
	 * stop; the process then still exits with the status of the command.
	 * @param arguments the command-line arguments
	 */
	public static void main(String[] arguments) {
		// Jooby's own shutdown hook would stop the server on the signal, before the
		// command has completed the requests in flight.
		System.setProperty("jooby.useShutdownHook", "false");
		LogSetup.apply(LogFormat.TEXT);
		StopRequest stop = new StopRequest();
		CompletableFuture<ExitCode> exitCode = new CompletableFuture<>();
		Runtime.getRuntime().addShutdownHook(new Thread(() -> stopAndHalt(stop, exitCode), "shutdown"));
		CommandContext context = new CommandContext(System.out, System.err, stop);
		ExitCode code = ExitCode.FAILED;
		try {
			code = new CommandLine(CommandRegistry.standard(), context).run(arguments);
		}
		finally {
			exitCode.complete(code);
		}
		System.exit(code.status());
	}

	// The JVM would exit with status 143 after SIGTERM, so the shutdown hook halts the
	// process with the status of the command.
	private static void stopAndHalt(StopRequest stop, CompletableFuture<ExitCode> exitCode) {
		stop.request();
		int status = ExitCode.FAILED.status();
		try {
			status = exitCode.get(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS).status();
		}
		catch (InterruptedException | ExecutionException | TimeoutException ex) {
			System.err.println("lentilstream: the command did not stop in time");
		}
		System.out.flush();
		System.err.flush();
		Runtime.getRuntime().halt(status);
	}

}
