package io.lentilstream.cli.explain;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;

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

	@Parameter(names = "--late", description = "Report where the time of all late jobs went: explain --late LOGFILE...")
	private boolean late;

	@Parameter(description = "ID LOGFILE...")
	private List<String> arguments = new ArrayList<>();

	@Override
	public ExitCode run(CommandContext context) {
		if (this.late && !this.arguments.isEmpty()) {
			return reportLate(context);
		}
		if (this.arguments.size() < 2) {
			context.err().println("explain: expected the id of a job and log files; see lentilstream explain --help");
			return ExitCode.USAGE;
		}
		JobHistory history = new JobHistory(this.arguments.get(0));
		for (String file : this.arguments.subList(1, this.arguments.size())) {
			read(file, (text) -> true, history::add, context);
		}
		if (history.decidingLine().isEmpty()) {
			context.err().println("explain: no line about " + this.arguments.get(0));
			return ExitCode.FAILED;
		}
		history.inCausalOrder().forEach((line) -> context.out().println(line.format()));
		context.out().println("deciding line: " + history.decidingLine().get().format());
		return ExitCode.SUCCESS;
	}

	private ExitCode reportLate(CommandContext context) {
		LateReport report = new LateReport();
		this.arguments.forEach((file) -> read(file, LateReport::mayConcern, report::add, context));
		if (report.empty()) {
			context.err().println("explain: no lines about the times of jobs");
			return ExitCode.FAILED;
		}
		report.print(context.out());
		return ExitCode.SUCCESS;
	}

	private static void read(String file, Predicate<String> wanted, Consumer<DecisionLine> consumer,
			CommandContext context) {
		try (var lines = Files.lines(Path.of(file), StandardCharsets.ISO_8859_1)) {
			int[] lineIndex = { 0 };
			lines.filter(wanted).forEach((line) -> DecisionLine.parse(line, lineIndex[0]++).ifPresent(consumer));
		}
		catch (IOException | UncheckedIOException ex) {
			context.err().println("explain: " + file + " cannot be read and is left out: " + ex.getMessage());
		}
	}

}
