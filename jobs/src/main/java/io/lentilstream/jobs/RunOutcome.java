package io.lentilstream.jobs;

/**
 * The outcome of a run, as reported by its VM.
 */
public enum RunOutcome {

	/** The task completed successfully. */
	DONE,

	/** The run failed, through a fault of the task or of the VM. */
	FAILED,

	/** A command stopped the run. */
	STOPPED,

	/** The lease expired. */
	LAPSED,

	/** Another member of its gang ended. */
	BROKEN,

	/** The run waited too long for the other members of its gang. */
	ALONE

}
