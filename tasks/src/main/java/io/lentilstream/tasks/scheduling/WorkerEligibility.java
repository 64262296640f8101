package io.lentilstream.tasks.scheduling;

import io.lentilstream.model.MonotonicTime;

/**
 * The eligibility of workers for new tasks. An eligible worker is listed and not leaving,
 * has listed its tasks to this owner, replies, is not on probation, has not just refused
 * a start, and is not stopping orphaned tasks.
 */
final class WorkerEligibility {

	private final ShardState state;

	private final Placements placements;

	WorkerEligibility(ShardState state, Placements placements) {
		this.state = state;
		this.placements = placements;
	}

	void refresh(WorkerRecord worker, MonotonicTime now) {
		boolean open = worker.listed && !worker.description.leaving() && worker.reconciled
				&& worker.unansweredCommands == 0 && worker.orphanStopCommand == 0
				&& now.nanos() - worker.startBackoffUntilNanos >= 0
				&& (worker.probation == WorkerRecord.ProbationState.NONE
						|| worker.probation == WorkerRecord.ProbationState.PROBE_DUE);
		this.state.ledger.setSchedulable(worker.ledgerIndex, open);
		if (open) {
			this.placements.freedWorkers().add(worker);
		}
	}

	void afterPlacement(WorkerRecord worker, MonotonicTime now) {
		if (worker.probation == WorkerRecord.ProbationState.PROBE_DUE) {
			worker.probation = WorkerRecord.ProbationState.PROBING;
			// The probe must run for the full probation time, however late it starts.
			worker.probeTimeNanos = now.nanos();
			this.state.ledger.setSchedulable(worker.ledgerIndex, false);
		}
	}

}
