package io.lentilstream.cli;

import java.io.IOException;

import com.beust.jcommander.Parameters;

import io.lentilstream.cli.demo.Demo;

/**
 * The command that runs the demonstration. It fails if a checked property does not hold
 * or a daemon reports an invariant violation.
 */
@Parameters(commandDescription = "Run a small system on loopback under load and faults, and check its properties")
final class DemoCommand implements Command {

	@Override
	public ExitCode run(CommandContext context) {
		LogSetup.logErrorsOnly();
		try {
			return new Demo(context.out()).run() ? ExitCode.SUCCESS : ExitCode.FAILED;
		}
		catch (IOException ex) {
			context.err().println("demo: cannot listen on loopback: " + ex.getMessage());
			return ExitCode.FAILED;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return ExitCode.FAILED;
		}
	}

}
