package io.lentilstream.cli;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;

/**
 * Parses the arguments and runs one command.
 */
final class CommandLine {

	private static final String PROGRAM = "lentilstream";

	private final CommandTable table;

	private final CommandContext context;

	CommandLine(CommandTable table, CommandContext context) {
		this.table = table;
		this.context = context;
	}

	ExitCode run(String... arguments) {
		Map<String, Command> commands = this.table.create();
		Map<String, Help> helps = new LinkedHashMap<>();
		Help help = new Help();
		JCommander parser = JCommander.newBuilder().programName(PROGRAM).addObject(help).build();
		commands.forEach((name, command) -> {
			helps.put(name, new Help());
			parser.addCommand(name, List.of(command, helps.get(name)));
		});
		try {
			parser.parse(arguments);
		}
		catch (ParameterException ex) {
			return usageMistake(ex.getMessage());
		}
		String name = parser.getParsedCommand();
		if (name != null && helps.get(name).requested) {
			JCommander commandParser = parser.getCommands().get(name);
			commandParser.setProgramName(PROGRAM + " " + name);
			return printUsage(commandParser);
		}
		if (help.requested) {
			return printUsage(parser);
		}
		return (name != null) ? run(name, commands.get(name)) : usageMistake("no command given");
	}

	private ExitCode run(String name, Command command) {
		try {
			return command.run(this.context);
		}
		catch (RuntimeException ex) {
			this.context.err().println(PROGRAM + " " + name + ": failed: " + ex);
			return ExitCode.FAILED;
		}
	}

	private ExitCode printUsage(JCommander parser) {
		StringBuilder text = new StringBuilder();
		parser.getUsageFormatter().usage(text);
		this.context.out().print(text);
		return ExitCode.SUCCESS;
	}

	private ExitCode usageMistake(String message) {
		this.context.err().println(PROGRAM + ": " + message + "; see " + PROGRAM + " --help");
		return ExitCode.USAGE;
	}

	/**
	 * Is the option that shows the help.
	 */
	private static final class Help {

		@Parameter(names = { "--help", "-h" }, help = true, description = "Show this help")
		private boolean requested;

	}

}
