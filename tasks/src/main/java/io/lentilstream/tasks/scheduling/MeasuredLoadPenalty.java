package io.lentilstream.tasks.scheduling;

import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.Resources;
import io.lentilstream.tasks.capacity.CommitmentLedger;

/**
 * A penalty for workers with a high measured load, since declared sizes are inaccurate.
 */
final class MeasuredLoadPenalty implements PlacementPenalty {

	/**
	 * Load up to this share of the capacity leaves a reserve for the lag of the reports.
	 */
	private static final double PENALTY_FREE_LOAD = 0.75;

	private static final double WEIGHT = 8;

	private final CommitmentLedger ledger;

	MeasuredLoadPenalty(CommitmentLedger ledger) {
		this.ledger = ledger;
	}

	@Override
	public double penalty(TaskGroup group, WorkerRecord worker, MonotonicTime now) {
		if (worker.usedMilliCores == 0 && worker.usedMemory == 0) {
			return 0;
		}
		Resources capacity = this.ledger.capacity(worker.ledgerIndex);
		double load = Math.max((double) worker.usedMilliCores / Math.max(1, capacity.milliCores()),
				(double) worker.usedMemory / Math.max(1, capacity.memoryMegabytes()));
		return Math.max(0, load - PENALTY_FREE_LOAD) * WEIGHT;
	}

}
