package io.lentilstream.jobs.scheduling;

import io.lentilstream.jobs.JobState;

/**
 * What is kept of a job that has ended until it is deleted from the store, so that its
 * state can be told and it is not run again.
 */
final class EndedJob {

	final JobState state;

	/** When the job ended, in milliseconds since 1970. */
	final long endedAtMillis;

	/**
	 * When this scheduler ended the job, or received it if it had ended before, in
	 * milliseconds on the monotonic clock.
	 */
	final long endedAt;

	/** Whether predecessors may have started runs that no VM has reported yet. */
	final boolean mayHaveUnreportedRuns;

	/** Whether it is logged why tasks of the job may go on for too long. */
	boolean missingStopLogged;

	EndedJob(JobState state, long endedAtMillis, long endedAt, boolean mayHaveUnreportedRuns) {
		this.state = state;
		this.endedAtMillis = endedAtMillis;
		this.endedAt = endedAt;
		this.mayHaveUnreportedRuns = mayHaveUnreportedRuns;
	}

}
