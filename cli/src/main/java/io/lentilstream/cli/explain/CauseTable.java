package io.lentilstream.cli.explain;

import java.io.PrintStream;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * A table of the time that late jobs lost, by group and cause.
 */
final class CauseTable {

	/** The causes in the order of their columns. */
	static final List<String> CAUSES = List.of("no-leader", LateJob.EARLIER_TERM, "storing", "takeover", "room",
			"place", "starting", "slowed", "paced", "again", "straggling", LateJob.UNEXPLAINED);

	private static final double SECOND_MILLIS = 1000;

	private final String group;

	private final TreeMap<String, Row> rows = new TreeMap<>();

	CauseTable(String group) {
		this.group = group;
	}

	void add(String key, LateJob job) {
		Row row = this.rows.computeIfAbsent(key, (name) -> new Row());
		row.jobs++;
		if (!job.late()) {
			return;
		}
		row.late++;
		row.tailMillis += job.tailMillis();
		job.millis().forEach((cause, time) -> row.millis.merge(cause, time, Long::sum));
	}

	/**
	 * Returns the share of the lost time that has a known cause. Time under earlier
	 * leaders has none, since only the last leader tells the phases of a job.
	 * @return the share; 1 if no time was lost
	 */
	double explainedShare() {
		long lost = 0;
		long unexplained = 0;
		for (Row row : this.rows.values()) {
			lost += row.lost();
			unexplained += row.get(LateJob.UNEXPLAINED) + row.get(LateJob.EARLIER_TERM);
		}
		return (lost == 0) ? 1 : 1 - (double) unexplained / lost;
	}

	long lostMillis(String cause) {
		return this.rows.values().stream().mapToLong((row) -> row.get(cause)).sum();
	}

	void print(PrintStream out) {
		StringBuilder head = new StringBuilder(
				String.format("%-24s %6s %6s %8s", this.group, "lines", "late", "lost-s"));
		CAUSES.forEach((cause) -> head.append(' ').append(cause));
		out.println(head.append(" | work-s away-s tail-s"));
		this.rows.forEach((key, row) -> out.println(row.format(key)));
		out.println();
	}

	/**
	 * A group of jobs.
	 */
	private static final class Row {

		private int jobs;

		private int late;

		private long tailMillis;

		private final Map<String, Long> millis = new HashMap<>();

		long get(String cause) {
			return this.millis.getOrDefault(cause, 0L);
		}

		long lost() {
			return this.millis.entrySet()
				.stream()
				.filter((entry) -> LateJob.lost(entry.getKey()))
				.mapToLong(Map.Entry::getValue)
				.sum();
		}

		String format(String key) {
			StringBuilder line = new StringBuilder(String.format(Locale.ROOT, "%-24s %6d %6d %8.1f", key, this.jobs,
					this.late, lost() / SECOND_MILLIS));
			for (String cause : CAUSES) {
				line.append(String.format(Locale.ROOT, " %" + cause.length() + ".1f", get(cause) / SECOND_MILLIS));
			}
			return line
				.append(String.format(Locale.ROOT, " | %6.1f %6.1f %6.1f", get("full") / SECOND_MILLIS,
						get("away") / SECOND_MILLIS, this.tailMillis / SECOND_MILLIS))
				.toString();
		}

	}

}
