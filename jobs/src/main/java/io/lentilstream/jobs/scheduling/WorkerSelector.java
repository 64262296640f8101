package io.lentilstream.jobs.scheduling;

import java.util.Collection;

import io.lentilstream.jobs.StepSpec;
import io.lentilstream.model.Resources;

/**
 * Chooses the VM for a task. Serving tasks are packed together by image and filling tasks
 * go where they disturb nothing; other tasks go where most processor time is free. Load
 * pattern: filling work that arrives in bursts beside serving tasks whose load swings.
 */
final class WorkerSelector {

	private static final double NEAR_DATA = 100;

	private static final double BESIDE_FILLING = 2;

	/** Part of its request that a serving task is assumed to use. */
	private static final double SERVING_USE = 0.45;

	/**
	 * For how long filling tasks keep away after a target was missed, in milliseconds.
	 */
	private static final long PRESSED_MILLIS = 1500;

	/**
	 * Time over a target from which all filling tasks keep away, in milliseconds, since
	 * the target is missed for a reason that is not known.
	 */
	private static final long LONG_PRESSED_MILLIS = 900;

	/** Part of its target that a serving task is meant to stay under. */
	private static final double TAIL_GOAL = 0.8;

	/** The same where a filling task is known to disturb; its effect comes in spikes. */
	private static final double DISTURBED_TAIL_GOAL = 0.5;

	/**
	 * Growth of the logarithm of a tail from which a filling task counts as disturbing.
	 */
	private static final double DISTURBING = 0.1;

	/** How much a disturbance weighs against unused processor time. */
	private static final double DISTURBANCE_WEIGHT = 5;

	/** Part of its request that a filling task must find unused. */
	private static final double FILL_SHARE = 0.8;

	private final TailForecast forecast;

	private final HeadroomReserve headroom;

	WorkerSelector(TailForecast forecast, HeadroomReserve headroom) {
		this.headroom = headroom;
		this.forecast = forecast;
	}

	Worker choose(Task task, Collection<Worker> workers, String rack, long now) {
		boolean joins = task.spec().traits().longRunning() && !this.headroom.mayTakeFreeWorker(task);
		Worker best = null;
		double bestScore = Double.NEGATIVE_INFINITY;
		for (Worker worker : workers) {
			boolean headroomOnly = joins && worker.lastingDemand == 0;
			if (headroomOnly && !task.restarts || !allowed(task, worker, rack, now)) {
				continue;
			}
			double score = score(task, worker) - (headroomOnly ? NEAR_DATA : 0);
			if (score > bestScore) {
				best = worker;
				bestScore = score;
			}
		}
		return best;
	}

	private boolean allowed(Task task, Worker worker, String rack, long now) {
		StepSpec spec = task.spec();
		StepSpec.Placement placement = spec.placement();
		if (!worker.takesWork(now) || !worker.listing.service().equals(task.job.policy.service())) {
			return false;
		}
		if (!spec.reserved().fitsWithin(worker.free()) || (!rack.isEmpty() && !rack.equals(worker.listing.rack()))) {
			return false;
		}
		if (!placement.requiredLabel().isEmpty() && !worker.listing.labels().contains(placement.requiredLabel())) {
			return false;
		}
		if (placement.maxPerWorker() > 0 && worker.countOf(task.step) >= placement.maxPerWorker()) {
			return false;
		}
		return !spec.traits().bestEffort() || roomToFill(task, worker, now);
	}

	private boolean roomToFill(Task task, Worker worker, long now) {
		long capacity = worker.listing.capacity().milliCores();
		double unused = capacity - worker.plainDemand() - SERVING_USE * worker.servingDemand - worker.fillDemand;
		if (unused < FILL_SHARE * task.spec().size().milliCores()) {
			return false;
		}
		if (worker.serving == 0) {
			return true;
		}
		boolean longPressed = worker.pressedSince >= 0 && now - worker.pressedSince >= LONG_PRESSED_MILLIS;
		return !longPressed && tailsStayLow(task, worker, now);
	}

	private boolean tailsStayLow(Task filling, Worker worker, long now) {
		double share = TailForecast.share(filling, worker);
		for (Run run : worker.runs.values()) {
			if (run.task.spec().serves() && !this.forecast.harmless(run, filling)) {
				if (now - run.pressedAt <= PRESSED_MILLIS) {
					return false;
				}
				double growth = share * this.forecast.sensitivity(run, filling);
				double goal = (growth > DISTURBING) ? DISTURBED_TAIL_GOAL : TAIL_GOAL;
				if (this.forecast.expected(run) + growth > Math.log(goal)) {
					return false;
				}
			}
		}
		return true;
	}

	// From -1 if no serving task on the VM has the image to 1 if all have. Where
	// images are kept apart, best-effort tasks find VMs on which they disturb nothing.
	private static double likeImages(Task serving, Worker worker) {
		if (worker.serving == 0) {
			return 0;
		}
		int like = 0;
		for (Run run : worker.runs.values()) {
			if (run.task.spec().serves() && run.task.spec().image().equals(serving.spec().image())) {
				like++;
			}
		}
		return 2.0 * like / worker.serving - 1;
	}

	private double disturbance(Task filling, Worker worker) {
		double sum = 0;
		for (Run run : worker.runs.values()) {
			if (run.task.spec().serves()) {
				sum += this.forecast.sensitivity(run, filling);
			}
		}
		return sum * TailForecast.share(filling, worker);
	}

	private double score(Task task, Worker worker) {
		StepSpec spec = task.spec();
		Resources capacity = worker.listing.capacity();
		double score = 0;
		if (spec.placement().affinityRack().equals(worker.listing.rack())) {
			score += NEAR_DATA;
		}
		if (worker.id().equals(task.failedOn) && !spec.traits().longRunning()) {
			score -= NEAR_DATA;
		}
		double free = (double) worker.free().milliCores() / Math.max(1, capacity.milliCores());
		double unused = free - (double) worker.fillDemand / Math.max(1, capacity.milliCores());
		if (spec.traits().bestEffort()) {
			return score + spare(worker) - DISTURBANCE_WEIGHT * disturbance(task, worker);
		}
		if (spec.serves()) {
			score -= BESIDE_FILLING * (free - unused);
			return score + likeImages(task, worker) + 1 - free;
		}
		return score + unused;
	}

	// Share of the VM that is expected to be unused.
	private static double spare(Worker worker) {
		double used = worker.plainDemand() + SERVING_USE * worker.servingDemand + worker.fillDemand;
		return 1 - used / Math.max(1, worker.listing.capacity().milliCores());
	}

}
