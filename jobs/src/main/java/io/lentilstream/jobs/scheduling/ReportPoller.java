package io.lentilstream.jobs.scheduling;

import java.util.List;

import io.lentilstream.jobs.CommandResult;
import io.lentilstream.jobs.WorkerCommands;
import io.lentilstream.jobs.WorkerCommands.ReportResult;

/**
 * Keeps a report request outstanding at each VM, which also extends the lease of its
 * tasks, and drops the runs whose lease has certainly expired. Repeats requests to the
 * last VMs that have not reported since a takeover.
 */
final class ReportPoller {

	/** How long a VM with runs may delay a report until a run ends, in milliseconds. */
	private static final long WAIT_MILLIS = 500;

	/** How long a VM without runs may delay a report, in milliseconds. */
	static final long IDLE_WAIT_MILLIS = 1000;

	/**
	 * The interval between report requests while ends are not stored or a task is on
	 * trial, in milliseconds.
	 */
	private static final long POLL_MILLIS = 100;

	/** The delay before a request to an unresponsive VM is retried, in milliseconds. */
	private static final long RETRY_MILLIS = 150;

	/**
	 * The time without reports that stops lease extensions, in milliseconds.
	 */
	private static final long MAX_EXTENDABLE_SILENCE_MILLIS = 700;

	/** The longest delay with which a VM may carry out a command, in milliseconds. */
	private static final long MAX_COMMAND_DELAY_MILLIS = 12_000;

	private final SchedulerState state;

	private final ReportHandler reportHandler;

	private final RunEndHandler runEndHandler;

	private final CrashDetector crashDetector;

	private final TakeoverTracker takeover;

	ReportPoller(SchedulerState state, ReportHandler reportHandler, RunEndHandler runEndHandler,
			CrashDetector crashDetector, TakeoverTracker takeover) {
		this.takeover = takeover;
		this.state = state;
		this.reportHandler = reportHandler;
		this.runEndHandler = runEndHandler;
		this.crashDetector = crashDetector;
	}

	void requestReportIfDue(Worker worker, long now) {
		if (now < worker.nextReportRequestAt || !mayRequest(worker, now)) {
			return;
		}
		this.state.raiseFenceIfPending(worker, now);
		worker.acknowledgeStored();
		boolean wait = worker.hasReported && worker.unstoredEnds.isEmpty() && worker.missedReports == 0
				&& worker.keptFor == null;
		long waitMillis = worker.runs.isEmpty() ? IDLE_WAIT_MILLIS : WAIT_MILLIS;
		boolean extend = worker.lease.clockKnown() && !worker.leaseLeftToExpire
				&& now - worker.lastReportAt < MAX_EXTENDABLE_SILENCE_MILLIS && !leaseMustEnd(worker);
		long deadline = extend ? this.state.extendLease(worker, now) : 0;
		worker.unansweredReportRequests++;
		worker.lastReportRequestAt = now;
		Worker.Incarnation incarnation = worker.incarnation;
		WorkerCommands.ReportRequest request = new WorkerCommands.ReportRequest(deadline, worker.nextAcknowledgement(),
				wait ? waitMillis : 0);
		this.state.commands.requestReport(worker.listing, request, (result) -> {
			handleResult(worker, incarnation, now, result);
			if (result instanceof ReportResult.Reported && worker.incarnation == incarnation) {
				worker.acknowledgementReceived(request.acknowledged());
			}
		});
	}

	private boolean mayRequest(Worker worker, long now) {
		if (worker.hasReported || !this.takeover.amongLast(worker.id())) {
			return worker.unansweredReportRequests == 0;
		}
		return RepeatedCommandRule.due(worker.unansweredReportRequests, worker.lastReportRequestAt, now);
	}

	// The end of the lease may be all that was promised to a caller. A leader that only
	// holds stops nothing, so leases that no promise rests on go on.
	private boolean leaseMustEnd(Worker worker) {
		return (worker.leaseEndGuaranteed || !this.state.holdOnly) && worker.mayRunEndedJob();
	}

	private void handleResult(Worker worker, Worker.Incarnation incarnation, long sent, ReportResult result) {
		if (worker.incarnation != incarnation) {
			return;
		}
		long now = this.state.now();
		worker.unansweredReportRequests--;
		if (sent < worker.answeredReportRequestAt) {
			// A repeated request has been answered first, so this result is outdated.
			return;
		}
		if (result instanceof ReportResult.Reported reported) {
			if (worker.missedReports > 0) {
				this.state.log.append("worker-regained", worker, "silent-ms", now - worker.lastReportAt);
			}
			this.reportHandler.handleRestartIfNew(worker, reported.report().incarnationStartMillis(), now);
			if (worker.missedReports > 0) {
				this.crashDetector.regained(worker);
			}
			worker.missedReports = 0;
			worker.answeredReportRequestAt = sent;
			worker.lastReportAt = now;
			worker.nextReportRequestAt = now;
			this.reportHandler.handle(worker, reported.report(), sent, now);
			worker.acknowledgeStored();
			if (!worker.unstoredEnds.isEmpty() || worker.keptFor != null) {
				worker.nextReportRequestAt = now + POLL_MILLIS;
			}
		}
		else if (result instanceof ReportResult.Missing missing) {
			handleMissing(worker, missing.reason(), sent, now);
		}
	}

	private void handleMissing(Worker worker, CommandResult reason, long sent, long now) {
		if (worker.missedReports++ == 0) {
			worker.silentSince = now;
			if (worker.runs.values().stream().noneMatch((run) -> run.onTrial)) {
				worker.silentWithoutTrialSince = now;
			}
			this.state.log.append("worker-silent", worker, "answer", reason, "runs", worker.runs.size());
			this.crashDetector.fellSilent(worker);
		}
		worker.nextReportRequestAt = now + RETRY_MILLIS;
		if (reason instanceof CommandResult.Refused refused && refused.reason() == CommandResult.Refusal.FENCED) {
			this.state.handleFenced(worker, sent);
		}
	}

	void dropRunsIfLeaseExpired(Worker worker, long now) {
		if (worker.runs.isEmpty() || worker.missedReports == 0 || !leaseExpired(worker, now)) {
			return;
		}
		this.state.log.append("worker-lapsed", worker, "silent-ms", now - worker.lastReportAt, "runs",
				worker.runs.size());
		for (Run run : List.copyOf(worker.runs.values())) {
			this.runEndHandler.handleLost(run, "lease expired", now);
		}
	}

	// The clock of an incarnation that has never reported is unknown. It can only have
	// runs whose start commands were meant for the previous incarnation and arrived late.
	private boolean leaseExpired(Worker worker, long now) {
		if (worker.lease.clockKnown()) {
			return worker.lease.certainlyExpired(now);
		}
		return now - worker.lastReportAt > MAX_COMMAND_DELAY_MILLIS + this.state.settings.maxLeaseMillis();
	}

}
