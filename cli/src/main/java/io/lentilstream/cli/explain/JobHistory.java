package io.lentilstream.cli.explain;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * The decision log lines about one job, in causal order. The clocks of the processes may
 * differ and jump, so the order does not use timestamps: it follows the lifecycle of the
 * job, its tasks and their runs.
 */
final class JobHistory {

	private final List<DecisionLine> lines = new ArrayList<>();

	private final String id;

	JobHistory(String id) {
		this.id = id;
	}

	void add(DecisionLine line) {
		if (line.concerns(this.id)) {
			this.lines.add(line);
		}
	}

	List<DecisionLine> inCausalOrder() {
		List<DecisionLine> ordered = new ArrayList<>(this.lines);
		ordered.sort(Comparator.comparingInt(DecisionLine::stage)
			.thenComparing(JobHistory::taskId)
			.thenComparingInt(DecisionLine::run)
			.thenComparingInt(DecisionLine::causalRank)
			.thenComparingInt(DecisionLine::lineIndex));
		return ordered;
	}

	private static String taskId(DecisionLine line) {
		return (line.stage() == 1) ? line.subject() : "";
	}

	/**
	 * Returns the line that determined the outcome that callers see, which is the last
	 * one in causal order.
	 * @return the line, or empty if there are no lines about the job
	 */
	Optional<DecisionLine> decidingLine() {
		List<DecisionLine> ordered = inCausalOrder();
		return ordered.isEmpty() ? Optional.empty() : Optional.of(ordered.get(ordered.size() - 1));
	}

}
