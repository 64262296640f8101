package io.lentilstream.jobs;

import java.util.List;

import io.lentilstream.model.Resources;

/**
 * Describes one step of a job.
 *
 * @param count number of tasks
 * @param size what each task requests
 * @param estimateMillis rough estimate of a task's run time, in milliseconds; 0 if none
 * was given
 * @param dependsOn numbers of the earlier steps that must be done first
 * @param traits yes-or-no properties of the tasks
 * @param placement limits on where the tasks may run
 * @param image what the tasks run; tasks of one image behave alike; empty if unknown
 * @param targetMillis bound on the tail of the response times of tasks that serve users,
 * in milliseconds; 0 if the tasks do not serve
 * @param maxUnavailable how many tasks may be unavailable at once through the scheduler's
 * actions; negative if there is no such bound
 */
public record StepSpec(int count, Resources size, long estimateMillis, List<Integer> dependsOn, Traits traits,
		Placement placement, String image, double targetMillis, int maxUnavailable) {

	/**
	 * Tells whether the tasks answer requests of their own users.
	 * @return {@code true} if there is a bound on their response times
	 */
	public boolean serves() {
		return this.targetMillis > 0;
	}

	/**
	 * Returns what a task of this step counts against the capacity of a VM.
	 * @return the resources; without processor time if the tasks use spare capacity
	 */
	public Resources reserved() {
		if (!this.traits.bestEffort()) {
			return this.size;
		}
		return new Resources(0, this.size.memoryMegabytes(), this.size.accelerators());
	}

	/**
	 * Holds the yes-or-no properties of a step's tasks.
	 *
	 * @param checkpointing whether the tasks save their progress
	 * @param gang whether the tasks work only while all of them are present
	 * @param speculative whether copies of a task may run in parallel
	 * @param longRunning whether the tasks run until the job is cancelled
	 * @param bestEffort whether the tasks run on the capacity that others leave unused
	 */
	public record Traits(boolean checkpointing, boolean gang, boolean speculative, boolean longRunning,
			boolean bestEffort) {

		/**
		 * None of the properties.
		 */
		public static final Traits NONE = new Traits(false, false, false, false, false);

	}

	/**
	 * Limits where a step's tasks may run.
	 *
	 * @param requiredLabel label that a VM must have; empty if any VM will do
	 * @param affinityRack rack that holds the data; empty if there is none
	 * @param sameRack whether the tasks should share one rack
	 * @param maxPerWorker largest number of the step's tasks on one VM; 0 if unlimited
	 */
	public record Placement(String requiredLabel, String affinityRack, boolean sameRack, int maxPerWorker) {

		/**
		 * No limits.
		 */
		public static final Placement ANYWHERE = new Placement("", "", false, 0);

	}

}
