package io.lentilstream.cli.explain;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/**
 * The times without a leader: from the last line that a leader writes once per second to
 * the beginning of the next term.
 */
final class LeaderGaps {

	private final TreeSet<Long> signs = new TreeSet<>();

	private final TreeSet<Long> begins = new TreeSet<>();

	void leaderSeen(long time) {
		this.signs.add(time);
	}

	void termBegun(long time) {
		this.begins.add(time);
	}

	/**
	 * Returns how much of a period had no leader.
	 * @param from the beginning of the period in milliseconds
	 * @param until the end of the period in milliseconds
	 * @return the time in milliseconds
	 */
	long within(long from, long until) {
		long sum = 0;
		for (Gap gap : gaps()) {
			sum += Math.max(0, Math.min(until, gap.until) - Math.max(from, gap.from));
		}
		return sum;
	}

	private List<Gap> gaps() {
		List<Gap> gaps = new ArrayList<>();
		for (Long begin : this.begins) {
			Long last = this.signs.lower(begin);
			if (last != null) {
				gaps.add(new Gap(last, begin));
			}
		}
		return gaps;
	}

	private record Gap(long from, long until) {
	}

}
