package io.lentilstream.tasks.scheduling;

import java.time.Duration;
import java.util.List;

import io.lentilstream.model.MonotonicTime;
import io.lentilstream.tasks.WorkerCommand;

/**
 * The manager of task leases. It renews leases, makes workers list their tasks, and
 * releases tasks whose lease has expired. A worker that does not reply is no longer
 * renewed but pinged with an empty stop command, since a renewal whose reply is lost
 * would extend its leases.
 */
final class LeaseManager {

	/** The number of renewals per task lease, so that two may be lost. */
	static final int RENEWALS_PER_LEASE = 3;

	/**
	 * The number of consecutive unanswered commands after which a worker is only pinged.
	 */
	static final int UNANSWERED_BEFORE_PING = 2;

	private static final Duration PING_DELAY = Duration.ofSeconds(1);

	private final ShardState state;

	private final Placements placements;

	private final WorkerEligibility eligibility;

	LeaseManager(ShardState state, Placements placements, WorkerEligibility eligibility) {
		this.state = state;
		this.placements = placements;
		this.eligibility = eligibility;
	}

	void renewIfDue(WorkerRecord worker, StepBuilder step, MonotonicTime now) {
		if (worker.vm != null && worker.renewCommand == 0 && now.nanos() - worker.renewDueNanos >= 0
				&& needsContact(worker) && this.state.mayRenew(now)) {
			if (worker.unansweredCommands >= UNANSWERED_BEFORE_PING) {
				ping(worker, step, now);
			}
			else {
				renew(worker, step, now);
			}
		}
	}

	void renew(WorkerRecord worker, StepBuilder step, MonotonicTime now) {
		worker.renewCommand = this.state.nextCommand();
		worker.outstandingLeaseCommands++;
		worker.renewDueNanos = now.plus(renewalInterval()).nanos();
		step.addCommand(worker, new WorkerCommand.Renew(worker.renewCommand, this.state.settings.taskLease()));
	}

	/**
	 * Records the outcome of a command that can extend leases, or that it has none.
	 * @param worker the worker
	 * @param mayHaveTakenEffect whether the worker may have extended its leases
	 * @param now the current time
	 */
	void leaseCommandCompleted(WorkerRecord worker, boolean mayHaveTakenEffect, MonotonicTime now) {
		worker.outstandingLeaseCommands--;
		if (mayHaveTakenEffect) {
			// The lease starts when the command arrives at the worker, which is not after
			// the worker has answered.
			long bound = now.plus(this.state.settings.taskLease()).plus(this.state.settings.clockMargin()).nanos();
			if (bound - worker.latestLeaseEndNanos > 0) {
				worker.latestLeaseEndNanos = bound;
			}
		}
	}

	void commandAnswered(WorkerRecord worker, MonotonicTime now) {
		if (worker.unansweredCommands > 0) {
			worker.unansweredCommands = 0;
			worker.renewDueNanos = now.nanos();
			this.eligibility.refresh(worker, now);
		}
	}

	void commandUnanswered(WorkerRecord worker, MonotonicTime now) {
		worker.unansweredCommands++;
		worker.renewDueNanos = (worker.unansweredCommands >= UNANSWERED_BEFORE_PING) ? now.plus(PING_DELAY).nanos()
				: now.nanos();
		this.eligibility.refresh(worker, now);
	}

	private void ping(WorkerRecord worker, StepBuilder step, MonotonicTime now) {
		worker.renewCommand = this.state.nextCommand();
		worker.renewDueNanos = now.plus(renewalInterval()).nanos();
		step.addCommand(worker, new WorkerCommand.Stop(worker.renewCommand, List.of()));
	}

	/**
	 * Releases the tasks of a worker after every lease there has expired. An outstanding
	 * command may still extend a lease, so nothing is released before its outcome.
	 * @param worker the worker
	 * @param now the current time
	 */
	void releaseIfExpired(WorkerRecord worker, MonotonicTime now) {
		if (worker.tasks.isEmpty() || worker.outstandingLeaseCommands > 0) {
			return;
		}
		long bound = worker.latestLeaseEndNanos;
		if (!worker.reconciled && worker.earlierLeasesEndNanos - bound > 0) {
			bound = worker.earlierLeasesEndNanos;
		}
		if (now.nanos() - bound <= 0) {
			return;
		}
		worker.reconciled = false;
		worker.renewDueNanos = now.nanos();
		this.eligibility.refresh(worker, now);
		for (TaskRecord task : List.copyOf(worker.tasks)) {
			this.state.totals.expiredLeases++;
			this.placements.release(task, now);
		}
	}

	// A worker without tasks is contacted only if it must list tasks or did not reply.
	private static boolean needsContact(WorkerRecord worker) {
		return !worker.tasks.isEmpty() || !worker.reconciled || worker.unansweredCommands > 0;
	}

	private Duration renewalInterval() {
		return this.state.settings.taskLease().dividedBy(RENEWALS_PER_LEASE);
	}

}
