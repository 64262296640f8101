package io.lentilstream.jobs.scheduling;

import io.lentilstream.jobs.TaskName;

/**
 * The state of a run of a task on a VM, as known to this scheduler.
 */
final class Run {

	private static final int FULL_SPEED = 100;

	final Task task;

	final int number;

	final Worker worker;

	final long startSentAt;

	Phase phase = Phase.STARTING;

	/** When the run entered its phase, in milliseconds. */
	long phaseSince;

	/** Whether a report of the VM's current incarnation has included the run. */
	boolean reported;

	/**
	 * The crash of a former incarnation of the VM that this run has caused if the current
	 * one has not started it; {@code null} if there is none.
	 */
	CrashDetector.UndecidedCrash undecidedCrash;

	/** Whether the run started on trial and has not passed. */
	boolean onTrial;

	/** Whether the run is to be stopped, for example because its job has ended. */
	boolean stopRequested;

	int unansweredStops;

	/** When the last stop command was sent, in milliseconds. */
	long lastStopSentAt;

	long nextStopAt;

	/** When the VM confirmed the stop, in milliseconds; negative if it has not. */
	long stopConfirmedAt = -1;

	String checkpoint = "";

	int percent;

	/** When the progress last changed, in milliseconds. */
	long progressedAt;

	/**
	 * Since when a long-running run works, in milliseconds; negative before that.
	 */
	long workingSince = -1;

	double measurement;

	/** When a serving run last exceeded its latency target, in milliseconds. */
	long lastOverTargetAt = Long.MIN_VALUE / 2;

	/** The share of the full speed to which the run is limited, in percent. */
	int speedPercent = FULL_SPEED;

	/**
	 * Whether the speed was set by this scheduler or is that of a start; otherwise it is
	 * inferred.
	 */
	boolean speedConfirmed = true;

	/** Since when the run is paused, in milliseconds; negative if it is not. */
	long pausedSince = -1;

	boolean speedChangeInFlight;

	/** The work done before the speed last changed, in milliseconds at full speed. */
	private long workedMillis;

	/** When the speed last changed, in milliseconds. */
	private long speedSince;

	/**
	 * Whether it is known when the run started and that it did so from the beginning of
	 * its task.
	 */
	boolean measured;

	Run(Task task, int number, Worker worker, long now) {
		this.task = task;
		this.number = number;
		this.worker = worker;
		this.startSentAt = now;
		this.phaseSince = now;
		this.progressedAt = now;
	}

	void enterPhase(Phase next, long now) {
		this.phase = next;
		this.phaseSince = now;
		this.speedSince = now;
		this.measured &= next != Phase.UNSURE;
	}

	void changeSpeed(int percent, long now) {
		this.workedMillis += workSinceSpeedChange(now);
		this.speedSince = now;
		this.speedPercent = percent;
	}

	/**
	 * Returns the work done since the VM confirmed the run.
	 * @param now the current time in milliseconds
	 * @return the time in milliseconds that it takes at full speed
	 */
	long workedMillis(long now) {
		return this.workedMillis + workSinceSpeedChange(now);
	}

	private long workSinceSpeedChange(long now) {
		return (now - this.speedSince) * this.speedPercent / FULL_SPEED;
	}

	RunKey key() {
		return new RunKey(this.task.name, this.number);
	}

	/**
	 * The phase of a run, as known to this scheduler.
	 */
	enum Phase {

		/** The start command has been sent; its result is pending. */
		STARTING,

		/**
		 * The VM did not respond to the start command; the run may or may not exist.
		 */
		UNSURE,

		/** The VM has confirmed the run. */
		RUNNING

	}

	/**
	 * The key of a run on its VM.
	 *
	 * @param task the task
	 * @param number the number of the run
	 */
	record RunKey(TaskName task, int number) {
	}

}
