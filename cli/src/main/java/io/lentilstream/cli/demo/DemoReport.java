package io.lentilstream.cli.demo;

import java.io.PrintStream;
import java.util.Map;

import org.HdrHistogram.ConcurrentHistogram;

import io.lentilstream.clients.TaskReport;
import io.lentilstream.standin.StandinRecords;

/**
 * The report of the demonstration: the measurements and results of the checks.
 */
final class DemoReport {

	private static final double MICROS_PER_MILLI = 1_000;

	private final PrintStream out;

	private final PropertyChecks checks;

	DemoReport(PrintStream out, PropertyChecks checks) {
		this.out = out;
		this.checks = checks;
	}

	void print(DemoCluster cluster, DemoUrgentLoad urgent, DemoPayments payments) {
		ConcurrentHistogram latency = urgent.latencyMicros();
		this.out.println();
		this.out.printf("urgent requests   p50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms%n", millis(latency, 50),
				millis(latency, 99), millis(latency, 99.9));
		this.out.println("  answers         " + formatCounts(urgent.outcomes()));
		this.out.printf("payments          %d accepted, %d collected%n", payments.acceptedCount(),
				payments.collectedCount());
		this.out.println("  answers         " + formatCounts(payments.outcomes()));
		StandinRecords records = cluster.platform().records();
		long finished = records.taskRuns()
			.values()
			.stream()
			.filter((runs) -> runs.stream().anyMatch((run) -> run.end() == TaskReport.State.DONE))
			.count();
		long resumed = records.taskRuns().values().stream().mapToLong((runs) -> runs.size() - 1L).sum();
		long stopped = records.taskRuns()
			.values()
			.stream()
			.flatMap(java.util.List::stream)
			.filter((run) -> run.end() == TaskReport.State.STOPPED)
			.count();
		this.out.printf("tasks             %d finished, %d stopped or evicted, %d resumed%n", finished, stopped,
				resumed);
		this.out.printf("store calls       %d reads, %d writes, %d watches%n%n", records.storeCalls().reads(),
				records.storeCalls().writes(), records.storeCalls().watches());
		for (PropertyCheck check : this.checks.all()) {
			this.out.printf("%-18s checked %6d, violations %d%s%n", check.name(), check.checked(), check.violations(),
					check.holds() ? "" : "  NOT MET");
			check.examples().forEach((example) -> this.out.println("    " + example));
		}
		cluster.brokenInvariants().forEach((cause) -> {
			this.out.println("broken invariant: " + cause);
			cause.printStackTrace(this.out);
		});
	}

	private static double millis(ConcurrentHistogram latency, double percentile) {
		return latency.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
	}

	private static String formatCounts(Map<String, ? extends Number> outcomes) {
		StringBuilder text = new StringBuilder();
		outcomes.forEach((outcome, count) -> text.append((text.length() > 0) ? ", " : "")
			.append(count.longValue())
			.append(' ')
			.append(outcome));
		return text.toString();
	}

}
