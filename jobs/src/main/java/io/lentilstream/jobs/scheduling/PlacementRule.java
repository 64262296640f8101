package io.lentilstream.jobs.scheduling;

import java.util.Collection;

import io.lentilstream.jobs.StepSpec;
import io.lentilstream.model.Resources;

/**
 * Chooses the VM for a task. Serving tasks are packed together and filling tasks go where
 * nothing serves, so that they disturb each other little; other tasks go where most
 * processor time is free. Load pattern: filling work that arrives in bursts beside
 * serving tasks whose load swings.
 */
final class PlacementRule {

	private static final double NEAR_DATA = 100;

	private static final double BESIDE_SERVING = 10;

	private static final double BESIDE_FILLING = 2;

	/** Share of a VM up to which serving tasks are packed. */
	private static final double PACKED_SHARE = 0.7;

	/** Share of its target that a serving task may take where filling tasks are added. */
	private static final double CALM_PRESSURE = 0.5;

	/**
	 * For how long filling tasks keep away after a target was missed, in milliseconds.
	 */
	private static final long PRESSED_MILLIS = 6000;

	/** Part of its request that a filling task must find unused. */
	private static final double FILL_SHARE = 0.8;

	Worker choose(Task task, Collection<Worker> workers, String rack, long now) {
		Worker best = null;
		double bestScore = Double.NEGATIVE_INFINITY;
		for (Worker worker : workers) {
			if (!allowed(task, worker, rack, now)) {
				continue;
			}
			double score = score(task, worker);
			if (score > bestScore) {
				best = worker;
				bestScore = score;
			}
		}
		return best;
	}

	private static boolean allowed(Task task, Worker worker, String rack, long now) {
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
		return !spec.traits().fills() || roomToFill(spec, worker, now);
	}

	private static boolean roomToFill(StepSpec spec, Worker worker, long now) {
		long unused = worker.free().milliCores() - worker.fillDemand;
		if (unused < FILL_SHARE * spec.size().milliCores()) {
			return false;
		}
		return worker.serving == 0 || (worker.pressure < CALM_PRESSURE && now - worker.pressedAt > PRESSED_MILLIS);
	}

	private static double score(Task task, Worker worker) {
		StepSpec spec = task.spec();
		Resources capacity = worker.listing.capacity();
		double score = 0;
		if (spec.placement().affinityRack().equals(worker.listing.rack())) {
			score += NEAR_DATA;
		}
		if (worker.id().equals(task.failedOn)) {
			score -= NEAR_DATA;
		}
		double free = (double) worker.free().milliCores() / Math.max(1, capacity.milliCores());
		double unused = free - (double) worker.fillDemand / Math.max(1, capacity.milliCores());
		if (spec.traits().fills()) {
			return score + unused - ((worker.serving > 0) ? BESIDE_SERVING : 0);
		}
		if (spec.serves()) {
			score -= BESIDE_FILLING * (free - unused);
			boolean packs = worker.serving > 0 && 1 - free < PACKED_SHARE && worker.pressure < CALM_PRESSURE;
			return score + (packs ? 1 - free : -1 + free);
		}
		return score + unused;
	}

}
