package io.lentilstream.jobs;

/**
 * The state of a job as callers see it.
 */
public enum JobState {

	/** No task has started yet. */
	QUEUED(false),

	/** At least one task has started. */
	RUNNING(false),

	/** All tasks have ended as done. */
	COMPLETED(true),

	/** A task has failed as often as its queue allows. */
	FAILED(true),

	/** The caller cancelled the job. */
	CANCELLED(true);

	private final boolean ended;

	JobState(boolean ended) {
		this.ended = ended;
	}

	/**
	 * Tells whether the state is final.
	 * @return {@code true} if no task of the job starts any more
	 */
	public boolean ended() {
		return this.ended;
	}

}
