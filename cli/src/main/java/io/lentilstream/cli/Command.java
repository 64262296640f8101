package io.lentilstream.cli;

/**
 * A subcommand of the command line. JCommander sets its annotated fields before
 * {@link #run} is called; the description in its {@code @Parameters} annotation appears
 * in the help.
 */
@FunctionalInterface
public interface Command {

	/**
	 * Runs the command.
	 * @param context the output streams and the stop request
	 * @return the exit code of the process
	 */
	ExitCode run(CommandContext context);

}
