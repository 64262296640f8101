package io.lentilstream.cli;

/**
 * Is one command of the command line. JCommander fills its annotated fields before it
 * runs; the description of its {@code @Parameters} is shown in the help.
 */
@FunctionalInterface
public interface Command {

	/**
	 * Runs the command.
	 * @param context where the command writes and how it is asked to stop
	 * @return how it ended
	 */
	ExitCode run(CommandContext context);

}
