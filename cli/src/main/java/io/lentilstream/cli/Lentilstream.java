package io.lentilstream.cli;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.lentilstream.settings.process.LogFormat;

/**
 * Runs the command line.
 */
public final class Lentilstream {

	/**
	 * Longest time from a signal to the end of the command. Requests in flight may take
	 * up to their deadlines, which are shorter.
	 */
	private static final long STOP_SECONDS = 60;

	private Lentilstream() {
	}

	/**
	 * Runs a command and exits with its status. On SIGTERM and SIGINT the command is
	 * asked to stop, and its status is that of the process.
	 * @param arguments the arguments
	 */
	public static void main(String[] arguments) {
		// Jooby would stop its server at the signal, before the command can finish the
		// requests in flight.
		System.setProperty("jooby.useShutdownHook", "false");
		LogSetup.apply(LogFormat.TEXT);
		StopRequest stop = new StopRequest();
		CompletableFuture<ExitCode> end = new CompletableFuture<>();
		Runtime.getRuntime().addShutdownHook(new Thread(() -> halt(stop, end), "shutdown"));
		CommandContext context = new CommandContext(System.out, System.err, stop);
		ExitCode code = ExitCode.FAILED;
		try {
			code = new CommandLine(CommandTable.standard(), context).run(arguments);
		}
		finally {
			end.complete(code);
		}
		System.exit(code.status());
	}

	// The JVM would exit with 143 after SIGTERM, so the hook ends the process itself.
	private static void halt(StopRequest stop, CompletableFuture<ExitCode> end) {
		stop.request();
		int status = ExitCode.FAILED.status();
		try {
			status = end.get(STOP_SECONDS, TimeUnit.SECONDS).status();
		}
		catch (InterruptedException | ExecutionException | TimeoutException ex) {
			System.err.println("lentilstream: the command did not stop in time");
		}
		System.out.flush();
		System.err.flush();
		Runtime.getRuntime().halt(status);
	}

}
