package io.lentilstream.tasks.scheduling;

import java.util.ArrayDeque;

import io.lentilstream.model.Resources;
import io.lentilstream.model.Urgency;
import io.lentilstream.tasks.log.SizeFactor;
import io.lentilstream.tasks.usage.SizeEstimator;

/**
 * The tasks of a team that have the same program, declared size and urgency. All
 * constraints on their placement are equal, so if one of them does not fit, none does.
 */
final class TaskClass {

	final int id;

	final TeamRecord team;

	final Key key;

	final SizeEstimator estimator = new SizeEstimator();

	final ArrayDeque<TaskGroup> queue = new ArrayDeque<>();

	Status status = Status.IDLE;

	/**
	 * The size for which no worker had room; {@code null} if the class is not blocked.
	 */
	Resources blockedSize;

	/** Whether a task is larger than every listed VM, as of the last check. */
	boolean unplaceable;

	long unplaceableSinceNanos;

	/** The last placement pass in which no worker had room. */
	long failedPass;

	/** The number of tasks that hold capacity. */
	int placedTasks;

	/** The number of workers on which tasks are being preempted for this class. */
	int preemptingWorkerCount;

	/** Whether the declared size is used because the learned size fits on no VM. */
	boolean useDeclaredSize;

	private SizeFactor cachedLearned = SizeFactor.DECLARED;

	private Resources cachedSize;

	private Resources cachedLimit = Resources.NONE;

	TaskClass(int id, TeamRecord team, Key key) {
		this.id = id;
		this.team = team;
		this.key = key;
		this.cachedSize = key.declared();
	}

	boolean isUrgent() {
		return this.key.urgency() == Urgency.URGENT;
	}

	/**
	 * Returns the size to commit for the next task, relative to the declared size. Urgent
	 * tasks get at least the declared size, since their usage grows at peak demand.
	 * @param largest the largest VM in each resource
	 * @return the factor
	 */
	SizeFactor cappedFactor(Resources largest) {
		SizeFactor learned = this.estimator.current();
		if (this.useDeclaredSize || learned == SizeFactor.DECLARED) {
			return learned;
		}
		Resources bound = learnedSizeLimit(largest);
		int cores = capFactor(learned.coreSixteenths(), this.key.declared().milliCores(), bound.milliCores());
		int memory = capFactor(learned.memorySixteenths(), this.key.declared().memoryMegabytes(),
				bound.memoryMegabytes());
		return new SizeFactor(cores, memory);
	}

	Resources size(Resources largest) {
		SizeFactor learned = this.estimator.current();
		if (this.useDeclaredSize) {
			return this.key.declared();
		}
		if (learned != this.cachedLearned || !learnedSizeLimit(largest).equals(this.cachedLimit)) {
			this.cachedLearned = learned;
			this.cachedLimit = learnedSizeLimit(largest);
			this.cachedSize = cappedFactor(largest).applyTo(this.key.declared());
		}
		return this.cachedSize;
	}

	TaskGroup head() {
		while (!this.queue.isEmpty()) {
			TaskGroup group = this.queue.peekFirst();
			if (group.hasWaiting() && !group.delayed) {
				return group;
			}
			group.queued = false;
			this.queue.removeFirst();
		}
		return null;
	}

	/**
	 * Returns the number of waiting tasks, up to a limit.
	 * @param limit the limit
	 * @return the number; may count some that ended while they waited
	 */
	int waitingCount(int limit) {
		int sum = 0;
		for (TaskGroup group : this.queue) {
			sum += group.waitingCount();
			if (sum >= limit) {
				return limit;
			}
		}
		return sum;
	}

	// A learned size above the hard limit of the team could never be placed.
	private Resources learnedSizeLimit(Resources largest) {
		Resources hardLimit = this.team.hardLimit;
		if (hardLimit == null) {
			return largest;
		}
		return new Resources(Math.min(largest.milliCores(), hardLimit.milliCores()),
				Math.min(largest.memoryMegabytes(), hardLimit.memoryMegabytes()), largest.accelerators());
	}

	private int capFactor(int learned, long declared, long largest) {
		int factor = isUrgent() ? Math.max(SizeFactor.ONE, learned) : learned;
		if (factor > SizeFactor.ONE && declared > 0) {
			long fitting = Math.max(SizeFactor.ONE, largest * SizeFactor.ONE / declared);
			factor = (int) Math.min(factor, fitting);
		}
		return factor;
	}

	/**
	 * The position of a task class in the pending queue.
	 */
	enum Status {

		/** No task waits. */
		IDLE,

		/** Ready for placement. */
		READY,

		/** No worker has room. */
		BLOCKED,

		/** The team is at its hard limit. */
		LIMITED

	}

	/**
	 * The key of a task class within its team.
	 *
	 * @param program the program
	 * @param declared the declared size
	 * @param urgency the urgency
	 */
	record Key(String program, Resources declared, Urgency urgency) {
	}

}
