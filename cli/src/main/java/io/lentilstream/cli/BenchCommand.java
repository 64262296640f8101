package io.lentilstream.cli;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

import io.lentilstream.benchmarks.slopes.Slope;
import io.lentilstream.benchmarks.slopes.SlopeReport;
import io.lentilstream.benchmarks.slopes.SlopeSuite;

/**
 * The command that runs a benchmark suite in this process and prints its results.
 */
@Parameters(commandDescription = "Run measurements: slopes (how the costs grow with the size; takes a few minutes)")
final class BenchCommand implements Command {

	@Parameter(description = "slopes", required = true)
	private List<String> arguments = new ArrayList<>();

	@Parameter(names = "--json", description = "Print JSON")
	private boolean json;

	@Override
	public ExitCode run(CommandContext context) {
		if (!this.arguments.equals(List.of("slopes"))) {
			context.err().println("bench: expected slopes, found " + String.join(" ", this.arguments));
			return ExitCode.USAGE;
		}
		LogSetup.logErrorsOnly();
		try {
			List<Slope> slopes = SlopeSuite.standard().run();
			SlopeReport report = new SlopeReport(slopes);
			if (this.json) {
				context.out().println(report.toJson());
			}
			else {
				report.printText(context.out());
			}
			return ExitCode.SUCCESS;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return ExitCode.FAILED;
		}
		catch (Exception ex) {
			context.err().println("bench: failed: " + ex);
			return ExitCode.FAILED;
		}
	}

}
