package io.lentilstream.jobs.scheduling;

import java.util.List;

import io.lentilstream.jobs.CommandResult;
import io.lentilstream.jobs.WorkerCommands;
import io.lentilstream.jobs.WorkerCommands.ReportResult;

/**
 * Keeps one request for a report open at each VM, which also extends the leases of its
 * tasks, and gives runs up whose lease has certainly expired.
 */
final class ReportPoller {

	/** How long a report may wait for an end, in milliseconds. */
	private static final long WAIT_MILLIS = 500;

	/** How long a report of a VM without runs may wait, in milliseconds. */
	private static final long IDLE_WAIT_MILLIS = 2000;

	/** Time between two reports while ends wait to be stored, in milliseconds. */
	private static final long UNSTORED_GAP_MILLIS = 100;

	/** Time between two requests to a VM that does not answer, in milliseconds. */
	private static final long SILENT_GAP_MILLIS = 150;

	/** Silence after which leases are not extended any more, in milliseconds. */
	private static final long EXTEND_SILENT_MILLIS = 700;

	/** Longest delay of an order that a VM carries out late, in milliseconds. */
	private static final long LATE_ORDER_MILLIS = 12_000;

	private final SchedulerState state;

	private final ReportHandler reports;

	private final RunEndHandler ends;

	ReportPoller(SchedulerState state, ReportHandler reports, RunEndHandler ends) {
		this.state = state;
		this.reports = reports;
		this.ends = ends;
	}

	void holdIfDue(Worker worker, long now) {
		if (worker.holdInFlight || now < worker.nextHoldAt) {
			return;
		}
		worker.acknowledgeStored();
		boolean wait = worker.opened && worker.unstored.isEmpty() && worker.silent == 0;
		long waitMillis = worker.runs.isEmpty() ? IDLE_WAIT_MILLIS : WAIT_MILLIS;
		boolean extend = worker.lease.known() && now - worker.answeredAt < EXTEND_SILENT_MILLIS;
		long deadline = extend ? this.state.extendLease(worker, now) : 0;
		worker.holdInFlight = true;
		Worker.Incarnation incarnation = worker.incarnation;
		WorkerCommands.ReportRequest order = new WorkerCommands.ReportRequest(deadline, worker.acknowledged,
				wait ? waitMillis : 0);
		this.state.orders.requestReport(worker.listing, order, (answer) -> answered(worker, incarnation, now, answer));
	}

	private void answered(Worker worker, Worker.Incarnation incarnation, long sent, ReportResult answer) {
		if (worker.incarnation != incarnation) {
			return;
		}
		long now = this.state.now();
		worker.holdInFlight = false;
		if (answer instanceof ReportResult.Reported reported) {
			if (worker.silent > 0) {
				this.state.log.append("worker-regained", worker, "silent-ms", now - worker.answeredAt);
			}
			worker.silent = 0;
			worker.answeredAt = now;
			worker.nextHoldAt = now;
			this.reports.take(worker, reported.report(), sent, now);
			worker.acknowledgeStored();
			if (!worker.unstored.isEmpty()) {
				worker.nextHoldAt = now + UNSTORED_GAP_MILLIS;
			}
		}
		else if (answer instanceof ReportResult.Missing missing) {
			missing(worker, missing.reason(), now);
		}
	}

	private void missing(Worker worker, CommandResult reason, long now) {
		if (worker.silent++ == 0) {
			this.state.log.append("worker-silent", worker, "answer", reason, "runs", worker.runs.size());
		}
		worker.nextHoldAt = now + SILENT_GAP_MILLIS;
		if (reason instanceof CommandResult.Refused refused && refused.reason() == CommandResult.Refusal.FENCED) {
			this.state.fenced = true;
		}
	}

	void lapseIfPassed(Worker worker, long now) {
		if (worker.runs.isEmpty() || worker.silent == 0 || !passed(worker, now)) {
			return;
		}
		this.state.log.append("worker-lapsed", worker, "silent-ms", now - worker.answeredAt, "runs",
				worker.runs.size());
		for (Run run : List.copyOf(worker.runs.values())) {
			this.ends.lost(run, "lease expired", now);
		}
	}

	// The clock of an incarnation that never answered is not known. Its runs can only be
	// orders for its predecessor that arrive late.
	private boolean passed(Worker worker, long now) {
		if (worker.lease.known()) {
			return worker.lease.certainlyPassed(now);
		}
		return now - worker.answeredAt > LATE_ORDER_MILLIS + this.state.settings.maxLeaseMillis();
	}

}
