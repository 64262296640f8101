package io.lentilstream.cli.explain;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Puts the lines about one job in the order of cause and effect. Clocks of processes may
 * differ and jump, so the order follows the life of the job, its tasks and their runs.
 */
final class JobStory {

	private final List<DecisionLine> lines = new ArrayList<>();

	private final String id;

	JobStory(String id) {
		this.id = id;
	}

	void add(DecisionLine line) {
		if (line.concerns(this.id)) {
			this.lines.add(line);
		}
	}

	List<DecisionLine> ordered() {
		List<DecisionLine> ordered = new ArrayList<>(this.lines);
		ordered.sort(Comparator.comparingInt(DecisionLine::stage)
			.thenComparing(JobStory::task)
			.thenComparingInt(DecisionLine::run)
			.thenComparingInt(DecisionLine::rank)
			.thenComparingInt(DecisionLine::position));
		return ordered;
	}

	private static String task(DecisionLine line) {
		return (line.stage() == 1) ? line.subject() : "";
	}

	/**
	 * Returns the line that decided what callers were told.
	 * @return the line, or empty if there are no lines
	 */
	Optional<DecisionLine> deciding() {
		List<DecisionLine> ordered = ordered();
		return ordered.isEmpty() ? Optional.empty() : Optional.of(ordered.get(ordered.size() - 1));
	}

}
