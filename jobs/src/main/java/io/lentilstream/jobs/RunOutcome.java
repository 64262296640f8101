package io.lentilstream.jobs;

/**
 * How a run of a task ended, by the report of its VM.
 */
public enum RunOutcome {

	/** The task did its work. */
	DONE,

	/** It failed by its own fault or the VM's. */
	FAILED,

	/** It was stopped by a command. */
	STOPPED,

	/** Its lease expired. */
	LAPSED,

	/** Another member of its gang ended. */
	BROKEN,

	/** It waited too long for the other members of its gang. */
	ALONE

}
