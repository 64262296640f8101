package io.lentilstream.jobs.accounting;

import java.util.Locale;

/**
 * The phases into which the time of a task is divided.
 */
public enum TimePhase {

	/** The start waits until the record of the job is stored. */
	STORING(false),

	/** A run of the predecessor may be in progress on a VM that has not reported. */
	TAKEOVER(false),

	/** No VM has room for the task. */
	ROOM(false),

	/** The task waits for a preferred place although there is room elsewhere. */
	PLACE(false),

	/** The start command is on its way, or a long-running task is not working yet. */
	STARTING(true),

	/** The task runs at full speed. */
	FULL(true),

	/** The task runs outside the rack of its data. */
	AWAY(true),

	/** The task gets less processor time than it requests, or is over its target. */
	SLOWED(true),

	/** The scheduler limits the speed of the task. */
	PACED(true),

	/** Runs that ended without completing the task. */
	AGAIN(false),

	/** The run takes longer than most of its step. */
	STRAGGLING(false);

	private final boolean partOfRun;

	TimePhase(boolean partOfRun) {
		this.partOfRun = partOfRun;
	}

	boolean partOfRun() {
		return this.partOfRun;
	}

	/**
	 * Tells whether the phase is useful work.
	 * @return {@code false} if the time counts as lost
	 */
	public boolean work() {
		return this == FULL || this == AWAY;
	}

	String logName() {
		return name().toLowerCase(Locale.ROOT);
	}

}
