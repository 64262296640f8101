package io.lentilstream.tasks.scheduling;

import java.time.Duration;
import java.util.List;

import io.lentilstream.model.MonotonicTime;
import io.lentilstream.tasks.WorkerCommand;

/**
 * Renews task leases, asks workers for their tasks, and gives tasks up whose lease has
 * certainly passed. A worker that does not answer is no longer renewed but pinged with an
 * empty stop, since a renewal whose reply is lost would extend its leases.
 */
final class LeaseRule {

	/** Renewals per task lease, so that two may be lost. */
	static final int RENEWALS_PER_LEASE = 3;

	/** Unanswered commands after which a worker is only pinged. */
	static final int SILENT_BEFORE_PING = 2;

	private static final Duration RETRY = Duration.ofSeconds(1);

	private final ShardState state;

	private final Placements placements;

	private final WorkerOpeningRule opening;

	LeaseRule(ShardState state, Placements placements, WorkerOpeningRule opening) {
		this.state = state;
		this.placements = placements;
		this.opening = opening;
	}

	void renewIfDue(WorkerRecord worker, StepBuilder step, MonotonicTime now) {
		if (worker.vm != null && worker.renewCommand == 0 && now.nanos() - worker.renewDueNanos >= 0
				&& needsContact(worker) && this.state.mayRenew(now)) {
			if (worker.silent >= SILENT_BEFORE_PING) {
				ping(worker, step, now);
			}
			else {
				renew(worker, step, now);
			}
		}
	}

	void renew(WorkerRecord worker, StepBuilder step, MonotonicTime now) {
		worker.renewCommand = this.state.nextCommand();
		worker.leaseCommands++;
		worker.renewDueNanos = now.plus(interval()).nanos();
		step.send(worker, new WorkerCommand.Renew(worker.renewCommand, this.state.settings.taskLease()));
	}

	/**
	 * Notes that a command that can extend leases was answered, or will not be.
	 * @param worker the worker
	 * @param mayHaveTakenEffect whether the worker may have extended its leases
	 * @param now the current time
	 */
	void leaseCommandAnswered(WorkerRecord worker, boolean mayHaveTakenEffect, MonotonicTime now) {
		worker.leaseCommands--;
		if (mayHaveTakenEffect) {
			// The lease runs from the arrival at the worker, which is not after the
			// answer.
			long bound = now.plus(this.state.settings.taskLease()).plus(this.state.settings.clockMargin()).nanos();
			if (bound - worker.leaseBoundNanos > 0) {
				worker.leaseBoundNanos = bound;
			}
		}
	}

	void answered(WorkerRecord worker, MonotonicTime now) {
		if (worker.silent > 0) {
			worker.silent = 0;
			worker.renewDueNanos = now.nanos();
			this.opening.refresh(worker, now);
		}
	}

	void silent(WorkerRecord worker, MonotonicTime now) {
		worker.silent++;
		worker.renewDueNanos = (worker.silent >= SILENT_BEFORE_PING) ? now.plus(RETRY).nanos() : now.nanos();
		this.opening.refresh(worker, now);
	}

	private void ping(WorkerRecord worker, StepBuilder step, MonotonicTime now) {
		worker.renewCommand = this.state.nextCommand();
		worker.renewDueNanos = now.plus(interval()).nanos();
		step.send(worker, new WorkerCommand.Stop(worker.renewCommand, List.of()));
	}

	/**
	 * Gives up the tasks of a worker on which no lease can last any more.
	 * @param worker the worker
	 * @param now the current time
	 */
	void lapseIfPassed(WorkerRecord worker, MonotonicTime now) {
		if (worker.tasks.isEmpty() || worker.leaseCommands > 0) {
			return;
		}
		long bound = worker.leaseBoundNanos;
		if (!worker.confirmed && worker.holdUntilNanos - bound > 0) {
			bound = worker.holdUntilNanos;
		}
		if (now.nanos() - bound <= 0) {
			return;
		}
		worker.confirmed = false;
		worker.renewDueNanos = now.nanos();
		this.opening.refresh(worker, now);
		for (TaskRecord task : List.copyOf(worker.tasks)) {
			this.state.totals.leaseLapses++;
			this.placements.release(task, now);
		}
	}

	// Workers without tasks are only asked when they must list their tasks or were
	// silent.
	private static boolean needsContact(WorkerRecord worker) {
		return !worker.tasks.isEmpty() || !worker.confirmed || worker.silent > 0;
	}

	private Duration interval() {
		return this.state.settings.taskLease().dividedBy(RENEWALS_PER_LEASE);
	}

}
