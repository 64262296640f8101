package io.lentilstream.tasks.scheduling;

import io.lentilstream.model.MonotonicTime;

/**
 * Decides whether a worker gets new work: it is listed and stays, has listed its tasks to
 * this owner, answers, is not on probation, and stops nothing that should not run there.
 */
final class WorkerOpeningRule {

	private final ShardState state;

	private final Placements placements;

	WorkerOpeningRule(ShardState state, Placements placements) {
		this.state = state;
		this.placements = placements;
	}

	void refresh(WorkerRecord worker, MonotonicTime now) {
		boolean open = worker.listed && !worker.description.leaving() && worker.confirmed && worker.silent == 0
				&& worker.orphanCommand == 0 && now.nanos() - worker.refusedUntilNanos >= 0
				&& (worker.probation == WorkerRecord.ProbationState.NONE
						|| worker.probation == WorkerRecord.ProbationState.PROBE_DUE);
		this.state.ledger.setSchedulable(worker.ledgerIndex, open);
		if (open) {
			this.placements.freed().add(worker);
		}
	}

	void afterPlacement(WorkerRecord worker, MonotonicTime now) {
		if (worker.probation == WorkerRecord.ProbationState.PROBE_DUE) {
			worker.probation = WorkerRecord.ProbationState.PROBING;
			// The probe must run for a whole probation time, however late it starts.
			worker.probationUntilNanos = now.nanos();
			this.state.ledger.setSchedulable(worker.ledgerIndex, false);
		}
	}

}
