package io.lentilstream.jobs.locality;

/**
 * The expected end of a run.
 */
public final class ExpectedEnd {

	/**
	 * The share of the time for which a run has lasted that it is expected to take
	 * longer, once it has lasted for longer than expected.
	 */
	private static final double OVERDUE_SHARE = 0.25;

	private ExpectedEnd() {
	}

	/**
	 * Returns the expected end of a run.
	 * @param startedAt when the run started, in milliseconds
	 * @param runMillis the expected run time, in milliseconds
	 * @param now the current time in milliseconds
	 * @return the time in milliseconds
	 */
	public static long of(long startedAt, long runMillis, long now) {
		long end = startedAt + runMillis;
		return (now < end) ? end : now + (long) (OVERDUE_SHARE * (now - startedAt));
	}

}
