package io.lentilstream.jobs.scheduling;

import io.lentilstream.jobs.TaskName;

/**
 * One run of a task on a VM, as far as this scheduler knows.
 */
final class Run {

	final Task task;

	final int number;

	final Worker worker;

	final long orderedAt;

	Phase phase = Phase.STARTING;

	/** When the phase began, in milliseconds. */
	long phaseSince;

	/** Whether the run is to end, because its job ended or its place is needed. */
	boolean stopWanted;

	boolean stopInFlight;

	long nextStopAt;

	/** When the VM confirmed the stop; negative before that. */
	long stopConfirmedAt = -1;

	String checkpoint = "";

	int percent;

	/** When the percentage last grew, in milliseconds. */
	long progressedAt;

	double figure;

	/** When a serving run was last over its target, in milliseconds. */
	long pressedAt = Long.MIN_VALUE / 2;

	/** The share of its speed at which the run may work. */
	int pace = 100;

	boolean paceInFlight;

	Run(Task task, int number, Worker worker, long now) {
		this.task = task;
		this.number = number;
		this.worker = worker;
		this.orderedAt = now;
		this.phaseSince = now;
		this.progressedAt = now;
	}

	void enter(Phase next, long now) {
		this.phase = next;
		this.phaseSince = now;
	}

	RunKey key() {
		return new RunKey(this.task.name, this.number);
	}

	/**
	 * What is known of a run.
	 */
	enum Phase {

		/** The order is on its way. */
		STARTING,

		/** The order was not answered. */
		UNSURE,

		/** The VM has the run. */
		RUNNING

	}

	/**
	 * Identifies a run on its VM.
	 *
	 * @param task the task
	 * @param number the number of the run
	 */
	record RunKey(TaskName task, int number) {
	}

}
