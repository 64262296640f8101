package io.lentilstream.jobs.scheduling;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import io.lentilstream.jobs.StepSpec;
import io.lentilstream.model.Resources;

/**
 * Selects the VM for a task. Serving tasks are grouped by image, and best-effort tasks go
 * to VMs where they do not interfere; other tasks go to the VM with the most free
 * processor time. Load pattern: best-effort work that arrives in bursts while the load of
 * serving tasks fluctuates.
 */
final class WorkerSelector {

	private static final Optional<PlacementObstacle> NONE = Optional.empty();

	private static final Optional<PlacementObstacle> OTHER_SERVICE = Optional.of(PlacementObstacle.OTHER_SERVICE);

	private static final Optional<PlacementObstacle> TAKES_NO_TASKS = Optional.of(PlacementObstacle.TAKES_NO_TASKS);

	private static final Optional<PlacementObstacle> STARTS_IN_FLIGHT = Optional.of(PlacementObstacle.STARTS_IN_FLIGHT);

	private static final Optional<PlacementObstacle> KEPT_FOR_TRIAL = Optional.of(PlacementObstacle.KEPT_FOR_TRIAL);

	private static final Optional<PlacementObstacle> HEADROOM = Optional.of(PlacementObstacle.HEADROOM);

	private static final Optional<PlacementObstacle> NO_CAPACITY = Optional.of(PlacementObstacle.NO_CAPACITY);

	private static final Optional<PlacementObstacle> PLACEMENT = Optional.of(PlacementObstacle.PLACEMENT);

	private static final Optional<PlacementObstacle> MAY_BE_FAULTY = Optional.of(PlacementObstacle.MAY_BE_FAULTY);

	private static final Optional<PlacementObstacle> BUSY = Optional.of(PlacementObstacle.BUSY);

	private static final double AFFINITY_SCORE = 100;

	private static final double BEST_EFFORT_PENALTY = 2;

	/**
	 * The share of its requested processor time that a serving task is assumed to use.
	 */
	private static final double ASSUMED_SERVING_USE = 0.45;

	/**
	 * How long interfering best-effort tasks are not placed beside a serving task that
	 * has missed its latency target, in milliseconds.
	 */
	private static final long AVOID_AFTER_MISS_MILLIS = 1500;

	/**
	 * The time over a latency target from which no best-effort tasks are placed, in
	 * milliseconds, since the cause of the miss is unknown.
	 */
	private static final long MAX_OVER_TARGET_MILLIS = 900;

	/**
	 * The share of its latency target below which the tail latency of a serving task
	 * should stay.
	 */
	private static final double TAIL_GOAL = 0.8;

	/**
	 * The same share beside a best-effort task that is known to interfere, since its
	 * effect comes in spikes.
	 */
	private static final double INTERFERENCE_TAIL_GOAL = 0.5;

	/**
	 * The increase of the natural logarithm of a tail latency from which a best-effort
	 * task counts as interfering.
	 */
	private static final double INTERFERENCE_THRESHOLD = 0.1;

	/** The weight of interference relative to unused processor time. */
	private static final double INTERFERENCE_WEIGHT = 5;

	/**
	 * The share of a best-effort task's requested processor time that has to be unused.
	 */
	private static final double MIN_UNUSED_SHARE = 0.8;

	/**
	 * The time after which a best-effort task may run beside serving tasks with high tail
	 * latencies if no task of its job runs, in milliseconds, while most of the processor
	 * time is not reserved.
	 */
	private static final long STARVING_MILLIS = 1000;

	private final TailForecast forecast;

	private final HeadroomReserve headroom;

	private final UtilizationTracker utilization;

	private final ReliablePlacementRule reliability;

	WorkerSelector(TailForecast forecast, HeadroomReserve headroom, UtilizationTracker utilization,
			ReliablePlacementRule reliability) {
		this.reliability = reliability;
		this.utilization = utilization;
		this.headroom = headroom;
		this.forecast = forecast;
	}

	/**
	 * Returns the restrictions that no longer apply to a waiting task.
	 * @param task the task
	 * @param now the current time in milliseconds
	 * @return the bits of {@link PlacementConcessions}
	 */
	int concessions(Task task, long now) {
		boolean highTails = task.spec().traits().bestEffort() && starves(task, now);
		int others = (this.reliability.permitsAny(task, now) ? PlacementConcessions.FAULTS : 0)
				| (highTails ? PlacementConcessions.HIGH_TAILS : 0);
		return PlacementConcessions.of(task, others, now);
	}

	Worker choose(Task task, Collection<Worker> workers, String rack, long now) {
		FreeWorkerUse freeWorkerUse = freeWorkerUse(task, now);
		Worker best = null;
		double bestScore = Double.NEGATIVE_INFINITY;
		for (Worker worker : workers) {
			boolean headroomOnly = freeWorkerUse != FreeWorkerUse.LIKE_OTHERS && worker.longRunningDemand == 0;
			if (headroomOnly && freeWorkerUse == FreeWorkerUse.NEVER || !eligible(task, worker, rack, now)) {
				continue;
			}
			double score = score(task, worker) - (headroomOnly ? AFFINITY_SCORE : 0)
					- (keptForOther(task, worker) ? 2 * AFFINITY_SCORE : 0);
			if (score > bestScore) {
				best = worker;
				bestScore = score;
			}
		}
		return best;
	}

	private FreeWorkerUse freeWorkerUse(Task task, long now) {
		if (!task.spec().traits().longRunning()) {
			return FreeWorkerUse.LIKE_OTHERS;
		}
		HeadroomReserve.Use use = this.headroom.use(task.job.policy.service());
		if (use.mayTakeFreeWorker()) {
			return FreeWorkerUse.LIKE_OTHERS;
		}
		int concessions = concessions(task, now);
		boolean permitted = task.hasRunBefore
				|| (concessions & PlacementConcessions.FREE_WORKERS) != 0 && use.isAmpleBeside(task);
		return permitted ? FreeWorkerUse.AFTER_OTHERS : FreeWorkerUse.NEVER;
	}

	boolean eligible(Task task, Worker worker, String rack, long now) {
		return obstacle(task, worker, rack, now).isEmpty();
	}

	/**
	 * Returns why a VM does not take a task, apart from the headroom.
	 * @param task the task
	 * @param worker the VM
	 * @param rack the rack to which the task is restricted; empty if there is none
	 * @param now the current time in milliseconds
	 * @return the reason, or empty if the VM takes the task
	 */
	private Optional<PlacementObstacle> obstacle(Task task, Worker worker, String rack, long now) {
		StepSpec spec = task.spec();
		if (keptForOther(task, worker) && (concessions(task, now) & PlacementConcessions.TRIALS) == 0) {
			return KEPT_FOR_TRIAL;
		}
		if (!worker.acceptsTasks(now)) {
			return TAKES_NO_TASKS;
		}
		if (!worker.listing.service().equals(task.job.policy.service())) {
			return OTHER_SERVICE;
		}
		if (worker.startsInFlight >= Worker.MAX_STARTS_IN_FLIGHT) {
			return STARTS_IN_FLIGHT;
		}
		if (!spec.reserved().fitsWithin(worker.free())) {
			return NO_CAPACITY;
		}
		if (!rack.isEmpty() && !rack.equals(worker.listing.rack()) || !placementAllows(task, worker)) {
			return PLACEMENT;
		}
		if (!this.reliability.permits(task, worker, now)) {
			return MAY_BE_FAULTY;
		}
		return (spec.traits().bestEffort() && !canRunBestEffort(task, worker, now)) ? BUSY : NONE;
	}

	/**
	 * Returns why VMs do not take a task.
	 * @param task the task
	 * @param workers the VMs
	 * @param now the current time in milliseconds
	 * @return the number of VMs by reason; a VM that takes the task counts as
	 * {@code NONE}
	 */
	Map<String, Integer> countObstacles(Task task, Collection<Worker> workers, long now) {
		boolean freeWorkersKept = freeWorkerUse(task, now) == FreeWorkerUse.NEVER;
		Map<String, Integer> counts = new TreeMap<>();
		for (Worker worker : workers) {
			if (!worker.listing.service().equals(task.job.policy.service())) {
				continue;
			}
			Optional<PlacementObstacle> found = obstacle(task, worker, "", now);
			if (found.isEmpty() && freeWorkersKept && worker.longRunningDemand == 0) {
				found = HEADROOM;
			}
			counts.merge(found.map(PlacementObstacle::name).orElse("NONE"), 1, Integer::sum);
		}
		return counts;
	}

	private static boolean keptForOther(Task task, Worker worker) {
		return worker.keptFor != null && worker.keptFor != task;
	}

	/**
	 * Tells whether a task may run on a VM, regardless of capacity.
	 * @param task the task
	 * @param worker the VM
	 * @param now the current time in milliseconds
	 * @return {@code true} if it may
	 */
	boolean allows(Task task, Worker worker, long now) {
		return placementAllows(task, worker) && this.reliability.permits(task, worker, now);
	}

	private static boolean placementAllows(Task task, Worker worker) {
		StepSpec.Placement placement = task.spec().placement();
		if (!placement.requiredLabel().isEmpty() && !worker.listing.labels().contains(placement.requiredLabel())) {
			return false;
		}
		return placement.maxPerWorker() == 0 || worker.countRuns(task.step) < placement.maxPerWorker();
	}

	private boolean canRunBestEffort(Task task, Worker worker, long now) {
		long capacity = worker.listing.capacity().milliCores();
		double unused = capacity - worker.regularDemand() - ASSUMED_SERVING_USE * worker.servingDemand
				- worker.bestEffortDemand;
		if (unused < MIN_UNUSED_SHARE * task.spec().size().milliCores()) {
			return false;
		}
		if (worker.servingRuns == 0) {
			return true;
		}
		boolean overTargetTooLong = worker.overTargetSince >= 0
				&& now - worker.overTargetSince >= MAX_OVER_TARGET_MILLIS;
		return !overTargetTooLong && (starves(task, now) || tailsStayLow(task, worker, now));
	}

	// The throttle slows such a task down if it raises a tail latency over its target.
	private boolean starves(Task task, long now) {
		if (now - task.waitingSince < STARVING_MILLIS) {
			return false;
		}
		if (!task.spec().traits().longRunning()) {
			for (StepState step : task.job.occurrences.getOrDefault(task.step.occurrence, List.of())) {
				if (step.runs > 0) {
					return false;
				}
			}
		}
		return this.utilization.mostlyFree(task.job.policy.service());
	}

	private boolean tailsStayLow(Task bestEffort, Worker worker, long now) {
		double share = TailForecast.requestedShare(bestEffort, worker);
		for (Run run : worker.runs.values()) {
			if (run.task.spec().serves() && !this.forecast.harmless(run, bestEffort)) {
				if (now - run.lastOverTargetAt <= AVOID_AFTER_MISS_MILLIS) {
					return false;
				}
				double growth = share * this.forecast.sensitivity(run, bestEffort);
				double goal = (growth > INTERFERENCE_THRESHOLD) ? INTERFERENCE_TAIL_GOAL : TAIL_GOAL;
				if (this.forecast.expectedLogRatio(run) + growth > Math.log(goal)) {
					return false;
				}
			}
		}
		return true;
	}

	// Ranges from -1 if no serving task on the VM has the same image to 1 if all have.
	// Keeping images apart leaves VMs on which best-effort tasks do not interfere.
	private static double imageSimilarity(Task serving, Worker worker) {
		if (worker.servingRuns == 0) {
			return 0;
		}
		int matching = 0;
		for (Run run : worker.runs.values()) {
			if (run.task.spec().serves() && run.task.spec().image().equals(serving.spec().image())) {
				matching++;
			}
		}
		return 2.0 * matching / worker.servingRuns - 1;
	}

	private double interference(Task bestEffort, Worker worker) {
		double sum = 0;
		for (Run run : worker.runs.values()) {
			if (run.task.spec().serves()) {
				sum += this.forecast.sensitivity(run, bestEffort);
			}
		}
		return sum * TailForecast.requestedShare(bestEffort, worker);
	}

	double score(Task task, Worker worker) {
		StepSpec spec = task.spec();
		Resources capacity = worker.listing.capacity();
		double score = -this.reliability.penalty(task, worker);
		if (spec.placement().affinityRack().equals(worker.listing.rack())) {
			score += AFFINITY_SCORE;
		}
		if (worker.id().equals(task.failedOn) && !spec.traits().longRunning()) {
			score -= AFFINITY_SCORE;
		}
		double free = (double) worker.free().milliCores() / Math.max(1, capacity.milliCores());
		double unused = free - (double) worker.bestEffortDemand / Math.max(1, capacity.milliCores());
		if (spec.traits().bestEffort()) {
			return score + unusedShare(worker) - INTERFERENCE_WEIGHT * interference(task, worker);
		}
		if (spec.serves()) {
			score -= BEST_EFFORT_PENALTY * (free - unused);
			return score + imageSimilarity(task, worker) + 1 - free;
		}
		return score + unused;
	}

	// Returns the share of the VM's processor time that is expected to be unused.
	private static double unusedShare(Worker worker) {
		double used = worker.regularDemand() + ASSUMED_SERVING_USE * worker.servingDemand + worker.bestEffortDemand;
		return 1 - used / Math.max(1, worker.listing.capacity().milliCores());
	}

	/**
	 * Whether a task may be placed on the VMs without long-running tasks.
	 */
	private enum FreeWorkerUse {

		/** Like on any other VM. */
		LIKE_OTHERS,

		/** Only if no other VM fits. */
		AFTER_OTHERS,

		/** Not, since they are kept as headroom. */
		NEVER

	}

}
