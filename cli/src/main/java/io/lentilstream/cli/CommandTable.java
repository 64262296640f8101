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
 * Lists the commands by name. A new command is one more line in {@link #standard()}.
 */
final class CommandTable {

	private final Map<String, Supplier<Command>> commands = new LinkedHashMap<>();

	static CommandTable standard() {
		return new CommandTable().with("demo", DemoCommand::new)
			.with("entry", EntryCommand::new)
			.with("standin", StandinCommand::new)
			.with("check", CheckCommand::new)
			.with("config", ConfigCommand::new)
			.with("teams", TeamsCommand::new)
			.with("tasks", TasksCommand::new)
			.with("requests", RequestsCommand::new)
			.with("status", StatusCommand::new)
			.with("drain", DrainCommand::new)
			.with("bench", BenchCommand::new)
			.with("explain", ExplainCommand::new);
	}

	CommandTable with(String name, Supplier<Command> command) {
		this.commands.put(name, command);
		return this;
	}

	Map<String, Command> create() {
		Map<String, Command> created = new LinkedHashMap<>();
		this.commands.forEach((name, command) -> created.put(name, command.get()));
		return created;
	}

}
