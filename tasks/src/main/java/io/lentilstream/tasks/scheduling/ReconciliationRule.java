package io.lentilstream.tasks.scheduling;

import java.util.ArrayList;
import java.util.List;

import io.lentilstream.clients.TaskReport;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.TaskId;
import io.lentilstream.tasks.TaskState;
import io.lentilstream.tasks.WorkerCommand;

/**
 * Compares the full list of tasks of a worker with what is placed there. Tasks that are
 * missing from the list lose their place, tasks that should not run are stopped.
 */
final class ReconciliationRule {

	private final ShardState state;

	private final Placements placements;

	private final ReportRule reports;

	private final StopRule stops;

	private final CheckpointRecorder checkpoints;

	private final OverloadRule overload;

	private final ProbationRule probation;

	private final WorkerOpeningRule opening;

	ReconciliationRule(ShardState state, Placements placements, ReportRule reports, StopRule stops,
			CheckpointRecorder checkpoints, OverloadRule overload, ProbationRule probation, WorkerOpeningRule opening) {
		this.state = state;
		this.placements = placements;
		this.reports = reports;
		this.stops = stops;
		this.checkpoints = checkpoints;
		this.overload = overload;
		this.probation = probation;
		this.opening = opening;
	}

	/**
	 * Takes the list.
	 * @param worker the worker
	 * @param command the renewal whose outcome is the list
	 * @param list the reports of all tasks at the worker
	 * @param step the step
	 * @param now the current time
	 */
	void apply(WorkerRecord worker, long command, List<TaskReport> list, StepBuilder step, MonotonicTime now) {
		List<TaskId> orphans = new ArrayList<>(0);
		long cores = 0;
		long memory = 0;
		double urgentSlowdown = 1;
		for (TaskReport report : list) {
			TaskRecord task = this.state.find(report.task());
			boolean runs = report.state() == TaskReport.State.RUNNING;
			if (runs) {
				cores += report.used().milliCores();
				memory += report.used().memoryMegabytes();
			}
			if (task == null || task.worker != worker) {
				if (runs) {
					orphans.add(report.task());
				}
				else if (report.state() == TaskReport.State.DONE) {
					finishedElsewhere(task, step, now);
				}
				continue;
			}
			if (command <= task.attemptCommand) {
				continue;
			}
			task.seenCommand = command;
			takeReport(task, report, command, step, now);
			if (runs && task.urgent()) {
				urgentSlowdown = Math.max(urgentSlowdown, report.slowdown());
			}
		}
		worker.usedMilliCores = cores;
		worker.usedMemory = memory;
		releaseMissing(worker, command, now);
		stopOrphans(worker, orphans, step);
		if (!worker.confirmed) {
			worker.confirmed = true;
			this.opening.refresh(worker, now);
		}
		this.overload.afterReports(worker, urgentSlowdown, step, now);
	}

	private void takeReport(TaskRecord task, TaskReport report, long command, StepBuilder step, MonotonicTime now) {
		WorkerRecord worker = task.worker;
		boolean ended = report.state() != TaskReport.State.RUNNING;
		// What ended before the start was answered may be an earlier attempt at this
		// worker. A renewal has no entries, so it can overtake a start that waits for its
		// group commit.
		boolean starting = task.command != 0 && task.command == task.attemptCommand;
		if (ended && report.state() != TaskReport.State.DONE && (starting || command <= task.confirmCommand)) {
			return;
		}
		if (ended && isBeingStopped(task)) {
			// The outcome of the stop must come first, or the stop could hit a later
			// attempt.
			return;
		}
		this.reports.take(task, report, command, step, now);
		if (task.worker != worker) {
			return;
		}
		if (task.command == 0 && (task.state.isEnded() || task.state == TaskState.EVICTED)) {
			this.stops.stopIfPlaced(task, step);
		}
		else {
			this.checkpoints.takeIfDue(task, step, now);
			if (worker.probation == WorkerRecord.ProbationState.PROBING && task.runs()
					&& now.nanos() - worker.probationUntilNanos >= this.state.settings.probation().toNanos()) {
				this.probation.succeeded(worker, now);
			}
		}
	}

	private void releaseMissing(WorkerRecord worker, long command, MonotonicTime now) {
		List<TaskRecord> missing = null;
		for (TaskRecord task : worker.tasks) {
			if (task.seenCommand != command && task.command == 0 && command > task.confirmCommand
					&& command > task.attemptCommand) {
				missing = (missing != null) ? missing : new ArrayList<>();
				missing.add(task);
			}
		}
		if (missing != null) {
			for (TaskRecord task : missing) {
				this.placements.release(task, now);
			}
		}
	}

	private void stopOrphans(WorkerRecord worker, List<TaskId> orphans, StepBuilder step) {
		if (!orphans.isEmpty() && worker.orphanCommand == 0) {
			worker.orphanCommand = this.state.nextCommand();
			this.state.ledger.setSchedulable(worker.ledgerIndex, false);
			step.send(worker, new WorkerCommand.Stop(worker.orphanCommand, List.copyOf(orphans)));
		}
	}

	private void finishedElsewhere(TaskRecord task, StepBuilder step, MonotonicTime now) {
		if (task != null && task.worker == null && !task.state.isEnded()) {
			this.reports.finished(task, step, now);
		}
	}

	private static boolean isBeingStopped(TaskRecord task) {
		return task.command != 0 && (task.state.isEnded() || task.state == TaskState.EVICTED);
	}

}
