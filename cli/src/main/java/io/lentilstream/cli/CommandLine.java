package io.lentilstream.cli;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;

/**
 * The parser of the command line, which also runs the selected command.
 */
final class CommandLine {

	private static final String PROGRAM = "lentilstream";

	private final CommandRegistry registry;

	private final CommandContext context;

	CommandLine(CommandRegistry registry, CommandContext context) {
		this.registry = registry;
		this.context = context;
	}

	ExitCode run(String... arguments) {
		Map<String, Command> commands = this.registry.createCommands();
		Map<String, HelpOption> helpOptions = new LinkedHashMap<>();
		HelpOption help = new HelpOption();
		JCommander parser = JCommander.newBuilder().programName(PROGRAM).addObject(help).build();
		commands.forEach((name, command) -> {
			helpOptions.put(name, new HelpOption());
			parser.addCommand(name, List.of(command, helpOptions.get(name)));
		});
		try {
			parser.parse(arguments);
		}
		catch (ParameterException ex) {
			return usageError(ex.getMessage());
		}
		String name = parser.getParsedCommand();
		if (name != null && helpOptions.get(name).requested) {
			JCommander commandParser = parser.getCommands().get(name);
			commandParser.setProgramName(PROGRAM + " " + name);
			return printUsage(commandParser);
		}
		if (help.requested) {
			return printUsage(parser);
		}
		return (name != null) ? run(name, commands.get(name)) : usageError("no command given");
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

	private ExitCode usageError(String message) {
		this.context.err().println(PROGRAM + ": " + message + "; see " + PROGRAM + " --help");
		return ExitCode.USAGE;
	}

	/**
	 * The help option, which the program and each command accept.
	 */
	private static final class HelpOption {

		@Parameter(names = { "--help", "-h" }, help = true, description = "Show this help")
		private boolean requested;

	}

}
