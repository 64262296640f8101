package io.lentilstream.jobs.scheduling;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.lentilstream.jobs.RunOutcome;
import io.lentilstream.jobs.TaskReport;

/**
 * Reconciles the known state of a VM with its reports.
 */
final class ReportHandler {

	/** The progress of a long-running run that works, in percent. */
	private static final int WORKING_PERCENT = 100;

	private final SchedulerState state;

	private final RunStarter runStarter;

	private final RunEndHandler runEndHandler;

	private final RunStopper runStopper;

	private final TakeoverTracker takeover;

	private final BestEffortThrottle throttle;

	private final CrashDetector crashDetector;

	private final CrashAttribution crashAttribution;

	private final SuspectStarter suspectStarter;

	private final WorkerConditions workerConditions;

	private final AdoptedRunReview adoptedRunReview;

	private final WorkerCircuitBreaker circuitBreaker;

	ReportHandler(SchedulerState state, RunStarter runStarter, RunEndHandler runEndHandler, RunStopper runStopper,
			TakeoverTracker takeover, BestEffortThrottle throttle, CrashDetector crashDetector,
			CrashAttribution crashAttribution, SuspectStarter suspectStarter, WorkerConditions workerConditions,
			AdoptedRunReview adoptedRunReview, WorkerCircuitBreaker circuitBreaker) {
		this.circuitBreaker = circuitBreaker;
		this.adoptedRunReview = adoptedRunReview;
		this.state = state;
		this.runStarter = runStarter;
		this.runEndHandler = runEndHandler;
		this.runStopper = runStopper;
		this.takeover = takeover;
		this.throttle = throttle;
		this.crashDetector = crashDetector;
		this.crashAttribution = crashAttribution;
		this.suspectStarter = suspectStarter;
		this.workerConditions = workerConditions;
	}

	/**
	 * Handles a report.
	 * @param worker the VM
	 * @param report the report
	 * @param sent when the report was requested, in milliseconds
	 * @param now the current time in milliseconds
	 */
	void handle(Worker worker, TaskReport report, long sent, long now) {
		worker.lease.recordClock(report.clockMillis(), sent, now);
		if (!worker.hasReported) {
			worker.hasReported = true;
			worker.firstReportAt = now;
			if (worker.restarted) {
				// Deadlines of commands for the former incarnation are far ahead of the
				// new clock, so they extend leases by as much as the VM grants.
				worker.lease.inherit(now + SchedulerSettings.onOwnClock(this.state.settings.maxLeaseMillis()));
			}
			long lapsed = report.ended().stream().filter((end) -> end.outcome() == RunOutcome.LAPSED).count();
			this.state.log.append("worker-opened", worker, "running", report.running().size(), "ended",
					report.ended().size(), "lapsed", lapsed);
			this.crashDetector.firstReportReceived(worker);
			this.workerConditions.apply(worker);
		}
		for (TaskReport.Ended end : report.ended()) {
			if (end.number() > worker.lastEndNumber) {
				handleEnded(worker, end, now);
			}
		}
		Set<Run.RunKey> reportedRuns = new HashSet<>();
		worker.hasUnknownRuns = false;
		for (TaskReport.Running reported : report.running()) {
			reportedRuns.add(new Run.RunKey(reported.task(), reported.run()));
			handleRunning(worker, reported, sent, now);
		}
		for (Run run : List.copyOf(worker.runs.values())) {
			if (!reportedRuns.contains(run.key())) {
				handleAbsent(run, report.moreEnds(), sent, now);
			}
		}
		worker.hasReportedAllEnds |= !report.moreEnds();
		if (!this.state.holdOnly) {
			this.throttle.apply(worker, now);
		}
	}

	/**
	 * Handles the start of a new incarnation of a VM if a report comes from another
	 * incarnation than the known one. Must be called before the report is handled.
	 * @param worker the VM
	 * @param startMillis when the reporting incarnation started, in milliseconds since
	 * 1970
	 * @param now the current time in milliseconds
	 */
	void handleRestartIfNew(Worker worker, long startMillis, long now) {
		if (startMillis != worker.incarnationStartMillis()) {
			handleRestart(worker, startMillis, "report", now);
		}
	}

	/**
	 * Handles the start of a new incarnation of a VM. Runs that the former incarnation
	 * reported are lost. The new one may have carried out any other start command, also
	 * if it was confirmed, since it answers to the same id.
	 * @param worker the VM
	 * @param startMillis when the new incarnation started, in milliseconds since 1970
	 * @param evidence what shows the restart, for the log
	 * @param now the current time in milliseconds
	 */
	void handleRestart(Worker worker, long startMillis, String evidence, long now) {
		long unreported = worker.runs.values()
			.stream()
			.filter((run) -> run.phase == Run.Phase.RUNNING && !run.reported)
			.count();
		this.state.log.append("worker-restarted", worker, "born-ms", startMillis, "was-ms",
				worker.incarnationStartMillis(), "evidence", evidence, "runs", worker.runs.size(), "unreported",
				unreported, "acknowledged", worker.acknowledged);
		this.crashDetector.restarted(worker);
		worker.restart(startMillis, now);
		this.state.raiseFenceIfPending(worker, now);
		for (Run run : List.copyOf(worker.runs.values())) {
			if (run.reported) {
				this.runEndHandler.handleLost(run, "VM restarted", now);
			}
			else {
				run.enterPhase(Run.Phase.UNSURE, now);
				run.stopConfirmedAt = -1;
			}
		}
	}

	private void handleEnded(Worker worker, TaskReport.Ended end, long now) {
		worker.lastEndNumber = end.number();
		Task task = this.state.findTask(end.task());
		if (task == null) {
			// The completion of the occurrence may not be stored yet.
			Job job = this.state.jobs.get(end.task().job());
			worker.unstoredEnds.add(new Worker.UnstoredEnd(end.number(), job, (job != null) ? job.version : 0));
			return;
		}
		Run run = worker.runs.get(new Run.RunKey(end.task(), end.run()));
		task.lastRun = Math.max(task.lastRun, end.run());
		if (run != null) {
			this.crashDetector.startedByCurrentIncarnation(run);
		}
		this.runEndHandler.handleEnd(task, end.run(), run, worker, end.outcome(), end.checkpoint(), now);
		worker.unstoredEnds.add(new Worker.UnstoredEnd(end.number(), task.job, task.job.version));
	}

	private void handleRunning(Worker worker, TaskReport.Running reported, long sent, long now) {
		Run run = worker.runs.get(new Run.RunKey(reported.task(), reported.run()));
		if (run == null) {
			run = adoptOrStop(worker, reported, now);
		}
		if (run == null) {
			return;
		}
		run.reported = true;
		this.crashDetector.startedByCurrentIncarnation(run);
		this.takeover.ruleOutDependents(run, sent);
		if (run.phase != Run.Phase.RUNNING) {
			this.runStarter.markRunning(run, now);
		}
		this.suspectStarter.passTrialIfOld(run, sent);
		this.crashAttribution.clearIfOld(run, sent);
		if (reported.percent() != run.percent) {
			run.progressedAt = now;
		}
		run.percent = reported.percent();
		if (run.workingSince < 0 && run.task.spec().traits().longRunning() && run.percent == WORKING_PERCENT) {
			run.workingSince = now;
		}
		this.circuitBreaker.recordProgress(run, now);
		run.checkpoint = reported.checkpoint();
		run.measurement = reported.measurement();
		TaskTimerEvents.charge(run, now);
	}

	private Run adoptOrStop(Worker worker, TaskReport.Running reported, long now) {
		Task task = this.state.findTask(reported.task());
		if (task == null) {
			worker.hasUnknownRuns = true;
			this.state.log.append("run-unknown", reported.task(), "worker", worker, "run", reported.run());
			this.state.commands.stop(worker.listing, reported.task(), reported.run(), (result) -> {
			});
			return null;
		}
		Run run = new Run(task, reported.run(), worker, now);
		AdoptedSpeed.infer(run, reported.measurement());
		boolean needed = task.job.active() && !task.done && this.adoptedRunReview.keeps(run)
				&& (task.runs.isEmpty() || task.spec().traits().speculative());
		task.lastRun = Math.max(task.lastRun, reported.run());
		task.addRun(run);
		task.possiblyRunning = false;
		worker.add(run);
		this.state.waiting.remove(task);
		this.state.log.append("run-adopted", task.name, "worker", worker, "run", reported.run(), "wanted", needed);
		if (!needed) {
			this.runStopper.requestStop(run, "run not needed", now);
		}
		return run;
	}

	// Responses on different connections may arrive out of order. A report that was
	// requested in the millisecond in which a result arrived may have been created
	// before that result.
	private void handleAbsent(Run run, boolean mayHaveEnded, long sent, long now) {
		if (mayHaveEnded) {
			run.progressedAt = now;
		}
		switch (run.phase) {
			case RUNNING -> {
				if (sent > run.phaseSince && !mayHaveEnded) {
					this.runEndHandler.handleLost(run, "not in the report", now);
				}
			}
			case UNSURE -> {
				Worker worker = run.worker;
				boolean fencedOff = run.startSentAt < worker.fencedAt && sent >= worker.fencedAt;
				boolean stopped = run.stopConfirmedAt >= 0 && sent > run.stopConfirmedAt;
				if ((fencedOff || stopped) && !mayHaveEnded) {
					this.crashDetector.notStartedByCurrentIncarnation(run);
					this.runEndHandler.handleLost(run, "never started", now);
				}
				else {
					this.runStopper.requestStop(run, "start not answered and not reported", now);
				}
			}
			case STARTING -> {
				// The start command may not have arrived when the report was created.
			}
		}
	}

}
