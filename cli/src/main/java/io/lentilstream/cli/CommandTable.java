package io.lentilstream.cli;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Lists the commands by name. A new command is one more line in {@link #standard()}.
 */
final class CommandTable {

	private final Map<String, Supplier<Command>> commands = new LinkedHashMap<>();

	static CommandTable standard() {
		return new CommandTable().with("check", CheckCommand::new).with("standin", StandinCommand::new);
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
