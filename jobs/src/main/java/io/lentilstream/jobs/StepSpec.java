package io.lentilstream.jobs;

import java.util.List;

import io.lentilstream.model.Resources;

/**
 * The specification of a step of a job.
 *
 * @param count the number of tasks
 * @param size the resources that each task requests
 * @param estimateMillis the estimated run time of a task, in milliseconds; 0 if there is
 * no estimate
 * @param dependsOn the numbers of the earlier steps that have to be done first
 * @param traits the boolean properties of the tasks
 * @param placement the placement constraints of the tasks
 * @param image the image that the tasks run, which identifies tasks of similar behaviour;
 * empty if unknown
 * @param targetMillis the target for the tail latency of serving tasks, in milliseconds;
 * 0 if the tasks do not serve requests
 * @param maxUnavailable the largest number of tasks that the scheduler may make
 * unavailable at the same time; negative if unlimited
 */
public record StepSpec(int count, Resources size, long estimateMillis, List<Integer> dependsOn, Traits traits,
		Placement placement, String image, double targetMillis, int maxUnavailable) {

	/**
	 * Tells whether the tasks serve requests.
	 * @return {@code true} if the step has a latency target
	 */
	public boolean serves() {
		return this.targetMillis > 0;
	}

	/**
	 * Returns the resources that a task of this step reserves on its VM.
	 * @return the reservation; without processor time if the tasks are best-effort
	 */
	public Resources reserved() {
		if (!this.traits.bestEffort()) {
			return this.size;
		}
		return new Resources(0, this.size.memoryMegabytes(), this.size.accelerators());
	}

	/**
	 * The boolean properties of a step's tasks.
	 *
	 * @param checkpointing whether the tasks save checkpoints from which they can resume
	 * @param gang whether the tasks only make progress while all of them are running
	 * @param speculative whether a task may have several runs in parallel
	 * @param longRunning whether the tasks run until the job is cancelled
	 * @param bestEffort whether the tasks run on the processor time that other tasks do
	 * not use
	 */
	public record Traits(boolean checkpointing, boolean gang, boolean speculative, boolean longRunning,
			boolean bestEffort) {

		/**
		 * None of the properties.
		 */
		public static final Traits NONE = new Traits(false, false, false, false, false);

	}

	/**
	 * The placement constraints of a step's tasks.
	 *
	 * @param requiredLabel the label that a VM must have; empty if none is required
	 * @param affinityRack the preferred rack, which holds the data of the tasks; empty if
	 * there is none
	 * @param sameRack whether the tasks should preferably run in the same rack
	 * @param maxPerWorker the maximum number of the step's tasks per VM; 0 if unlimited
	 */
	public record Placement(String requiredLabel, String affinityRack, boolean sameRack, int maxPerWorker) {

		/**
		 * No constraints.
		 */
		public static final Placement ANYWHERE = new Placement("", "", false, 0);

	}

}
