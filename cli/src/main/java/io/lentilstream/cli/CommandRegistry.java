package io.lentilstream.cli;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;

import io.lentilstream.cli.admin.ConfigCommand;
import io.lentilstream.cli.admin.DrainCommand;
import io.lentilstream.cli.admin.RequestsCommand;
import io.lentilstream.cli.admin.StatusCommand;
import io.lentilstream.cli.admin.TasksCommand;
import io.lentilstream.cli.admin.TeamsCommand;
import io.lentilstream.cli.explain.ExplainCommand;

/**
 * The commands by name, in the order of the help. New commands are registered in
 * {@link #standard()}.
 */
final class CommandRegistry {

	private final Map<String, Supplier<Command>> commands = new LinkedHashMap<>();

	static CommandRegistry standard() {
		return new CommandRegistry().register("demo", DemoCommand::new)
			.register("entry", EntryCommand::new)
			.register("standin", StandinCommand::new)
			.register("check", CheckCommand::new)
			.register("config", ConfigCommand::new)
			.register("teams", TeamsCommand::new)
			.register("tasks", TasksCommand::new)
			.register("requests", RequestsCommand::new)
			.register("status", StatusCommand::new)
			.register("drain", DrainCommand::new)
			.register("bench", BenchCommand::new)
			.register("explain", ExplainCommand::new);
	}

	CommandRegistry register(String name, Supplier<Command> command) {
		this.commands.put(name, command);
		return this;
	}

	Map<String, Command> createCommands() {
		Map<String, Command> created = new LinkedHashMap<>();
		this.commands.forEach((name, command) -> created.put(name, command.get()));
		return created;
	}

}
