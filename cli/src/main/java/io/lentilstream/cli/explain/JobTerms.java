package io.lentilstream.cli.explain;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The times of a job as told by each leader that it had. A leader that fails leaves those
 * of its last line.
 */
final class JobTerms {

	private final List<LateJob> lines = new ArrayList<>();

	void add(LateJob line) {
		this.lines.add(line);
	}

	/**
	 * Returns the times under all leaders.
	 * @return the job as its last line tells, with earlier terms divided where known
	 */
	LateJob combined() {
		this.lines.sort(Comparator.comparingLong(LateJob::loggedAt));
		LateJob earlierTerms = null;
		LateJob last = null;
		for (LateJob line : this.lines) {
			if (last != null && last.loggedAt() <= line.takenOverAt()) {
				earlierTerms = last;
			}
			last = (earlierTerms != null) ? line.after(earlierTerms) : line;
		}
		return last;
	}

}
