package io.lentilstream.jobs;

/**
 * The state of a job as callers see it.
 */
public enum JobState {

	/** No task has started yet. */
	QUEUED(false),

	/** At least one task has started. */
	RUNNING(false),

	/** All tasks have completed successfully. */
	COMPLETED(true),

	/** A task has used up the attempts that its queue allows. */
	FAILED(true),

	/** A caller cancelled the job. */
	CANCELLED(true);

	private final boolean ended;

	JobState(boolean ended) {
		this.ended = ended;
	}

	/**
	 * Tells whether the state is final.
	 * @return {@code true} if no further run of the job's tasks will start
	 */
	public boolean ended() {
		return this.ended;
	}

}
