package io.lentilstream.cli.explain;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

import io.lentilstream.cli.Command;
import io.lentilstream.cli.CommandContext;
import io.lentilstream.cli.ExitCode;

/**
 * The command that prints the history of a job from the logs of several processes. A log
 * file that cannot be read is reported and skipped.
 */
@Parameters(commandDescription = "Explain what became of a job: explain ID LOGFILE...")
public final class ExplainCommand implements Command {

	@Parameter(description = "ID LOGFILE...")
	private List<String> arguments = new ArrayList<>();

	@Override
	public ExitCode run(CommandContext context) {
		if (this.arguments.size() < 2) {
			context.err().println("explain: expected the id of a job and log files; see lentilstream explain --help");
			return ExitCode.USAGE;
		}
		JobHistory history = new JobHistory(this.arguments.get(0));
		for (String file : this.arguments.subList(1, this.arguments.size())) {
			read(file, history, context);
		}
		if (history.decidingLine().isEmpty()) {
			context.err().println("explain: no line about " + this.arguments.get(0));
			return ExitCode.FAILED;
		}
		history.inCausalOrder().forEach((line) -> context.out().println(line.format()));
		context.out().println("deciding line: " + history.decidingLine().get().format());
		return ExitCode.SUCCESS;
	}

	private static void read(String file, JobHistory history, CommandContext context) {
		try (var lines = Files.lines(Path.of(file), StandardCharsets.ISO_8859_1)) {
			int[] lineIndex = { 0 };
			lines.forEach((line) -> DecisionLine.parse(line, lineIndex[0]++).ifPresent(history::add));
		}
		catch (IOException ex) {
			context.err().println("explain: " + file + " cannot be read and is left out: " + ex.getMessage());
		}
	}

}
