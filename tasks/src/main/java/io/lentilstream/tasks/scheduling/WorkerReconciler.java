package io.lentilstream.tasks.scheduling;

import java.util.ArrayList;
import java.util.List;

import io.lentilstream.clients.TaskReport;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.TaskId;
import io.lentilstream.tasks.TaskState;
import io.lentilstream.tasks.WorkerCommand;

/**
 * The reconciliation of the full list of tasks of a worker with the tasks placed there.
 * Tasks missing from the list are released; running tasks that are not placed there are
 * orphans and are stopped.
 */
final class WorkerReconciler {

	private final ShardState state;

	private final Placements placements;

	private final ReportHandler reportHandler;

	private final TaskStopper stopper;

	private final CheckpointManager checkpoints;

	private final OverloadMitigator overloadMitigator;

	private final WorkerProbation probation;

	private final WorkerEligibility eligibility;

	private final RetryPolicy retryPolicy;

	WorkerReconciler(ShardState state, Placements placements, ReportHandler reportHandler, TaskStopper stopper,
			CheckpointManager checkpoints, OverloadMitigator overloadMitigator, WorkerProbation probation,
			WorkerEligibility eligibility, RetryPolicy retryPolicy) {
		this.state = state;
		this.placements = placements;
		this.reportHandler = reportHandler;
		this.stopper = stopper;
		this.checkpoints = checkpoints;
		this.overloadMitigator = overloadMitigator;
		this.probation = probation;
		this.eligibility = eligibility;
		this.retryPolicy = retryPolicy;
	}

	/**
	 * Applies the list of tasks.
	 * @param worker the worker
	 * @param command the renewal whose outcome is the list
	 * @param reports the reports of all tasks at the worker
	 * @param step the step
	 * @param now the current time
	 */
	void apply(WorkerRecord worker, long command, List<TaskReport> reports, StepBuilder step, MonotonicTime now) {
		List<TaskId> orphans = new ArrayList<>(0);
		long cores = 0;
		long memory = 0;
		double urgentSlowdown = 1;
		for (TaskReport report : reports) {
			TaskRecord task = this.state.findTask(report.task());
			boolean running = report.state() == TaskReport.State.RUNNING;
			if (running) {
				cores += report.used().milliCores();
				memory += report.used().memoryMegabytes();
			}
			if (task == null || task.worker != worker) {
				if (running) {
					orphans.add(report.task());
				}
				else if (report.state() == TaskReport.State.DONE) {
					handleFinishedElsewhere(task, step, now);
				}
				continue;
			}
			if (command <= task.startCommand) {
				continue;
			}
			task.lastListedCommand = command;
			applyReport(task, report, command, step, now);
			if (running && task.isUrgent()) {
				urgentSlowdown = Math.max(urgentSlowdown, report.slowdown());
			}
		}
		worker.usedMilliCores = cores;
		worker.usedMemory = memory;
		releaseMissing(worker, command, step, now);
		stopOrphans(worker, orphans, step);
		if (!worker.reconciled) {
			worker.reconciled = true;
			this.eligibility.refresh(worker, now);
		}
		this.overloadMitigator.afterReports(worker, urgentSlowdown, step, now);
	}

	private void applyReport(TaskRecord task, TaskReport report, long command, StepBuilder step, MonotonicTime now) {
		WorkerRecord worker = task.worker;
		boolean ended = report.state() != TaskReport.State.RUNNING;
		// An ended task that is reported before the outcome of its start may be an
		// earlier attempt on this worker. A renewal has no log entries, so it can
		// overtake a start that waits for its group commit.
		boolean starting = task.outstandingCommand != 0 && task.outstandingCommand == task.startCommand;
		if (ended && report.state() != TaskReport.State.DONE && (starting || command <= task.newestCommandAtStart)) {
			return;
		}
		if (ended && isBeingStopped(task)) {
			// The outcome of the stop must be handled first; otherwise the stop could
			// reach a later attempt.
			return;
		}
		this.reportHandler.apply(task, report, command, step, now);
		if (task.worker != worker) {
			return;
		}
		if (task.outstandingCommand == 0 && (task.state.isEnded() || task.state == TaskState.EVICTED)) {
			this.stopper.stopIfPlaced(task, step);
		}
		else {
			this.checkpoints.requestIfDue(task, step, now);
			if (worker.probation == WorkerRecord.ProbationState.PROBING && task.isRunning()
					&& now.nanos() - worker.probeTimeNanos >= this.state.settings.probation().toNanos()) {
				this.probation.recordSuccess(worker, now);
			}
		}
	}

	// A worker lists the tasks that ended too, so one that does not list a task of which
	// it confirmed the start has crashed. A start without a reply may never have arrived.
	private void releaseMissing(WorkerRecord worker, long command, StepBuilder step, MonotonicTime now) {
		List<TaskRecord> missing = new ArrayList<>(0);
		boolean crashed = false;
		for (TaskRecord task : worker.tasks) {
			if (task.lastListedCommand != command && task.outstandingCommand == 0 && command > task.newestCommandAtStart
					&& command > task.startCommand) {
				missing.add(task);
				crashed |= task.state != TaskState.STARTING;
			}
		}
		if (crashed) {
			this.retryPolicy.handleCrash(missing, step, now);
			return;
		}
		missing.forEach((task) -> this.placements.release(task, now));
	}

	private void stopOrphans(WorkerRecord worker, List<TaskId> orphans, StepBuilder step) {
		if (!orphans.isEmpty() && worker.orphanStopCommand == 0) {
			worker.orphanStopCommand = this.state.nextCommand();
			this.state.ledger.setSchedulable(worker.ledgerIndex, false);
			step.addCommand(worker, new WorkerCommand.Stop(worker.orphanStopCommand, List.copyOf(orphans)));
		}
	}

	private void handleFinishedElsewhere(TaskRecord task, StepBuilder step, MonotonicTime now) {
		if (task != null && task.worker == null && !task.state.isEnded()) {
			this.reportHandler.handleFinished(task, step, now);
		}
	}

	private static boolean isBeingStopped(TaskRecord task) {
		return task.outstandingCommand != 0 && (task.state.isEnded() || task.state == TaskState.EVICTED);
	}

}
