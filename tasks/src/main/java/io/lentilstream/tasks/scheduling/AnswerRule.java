package io.lentilstream.tasks.scheduling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import io.lentilstream.clients.TaskReport;
import io.lentilstream.clients.WorkerOutcome;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.TaskId;
import io.lentilstream.tasks.TaskState;
import io.lentilstream.tasks.WorkerCommand;

/**
 * Takes the outcomes of commands to workers. Outcomes may arrive in any order; what an
 * outcome says about a task counts only if the command was sent within the present
 * attempt of the task.
 */
final class AnswerRule {

	private static final Duration PAUSE_AFTER_REFUSAL = Duration.ofSeconds(2);

	private final ShardState state;

	private final Placements placements;

	private final LeaseRule leases;

	private final ReportRule reports;

	private final ReconciliationRule reconciliation;

	private final EvictionRule evictions;

	private final StopRule stops;

	private final WorkerOpeningRule opening;

	private final RepeatedFailureRule failures;

	AnswerRule(ShardState state, Placements placements, LeaseRule leases, ReportRule reports,
			ReconciliationRule reconciliation, EvictionRule evictions, StopRule stops, WorkerOpeningRule opening,
			RepeatedFailureRule failures) {
		this.state = state;
		this.placements = placements;
		this.leases = leases;
		this.reports = reports;
		this.reconciliation = reconciliation;
		this.evictions = evictions;
		this.stops = stops;
		this.opening = opening;
		this.failures = failures;
	}

	void apply(WorkerRecord worker, WorkerCommand command, WorkerOutcome outcome, StepBuilder step, MonotonicTime now) {
		if (outcome instanceof WorkerOutcome.Fenced fenced) {
			if (fenced.highest().compareTo(this.state.epoch) > 0) {
				this.state.fenced = true;
				return;
			}
			outcome = new WorkerOutcome.Refused("worker reports an epoch that is not higher");
		}
		if (outcome instanceof WorkerOutcome.NoReply) {
			this.leases.silent(worker, now);
		}
		else {
			this.leases.answered(worker, now);
		}
		if (command instanceof WorkerCommand.Start start) {
			start(worker, start, outcome, step, now);
		}
		else if (command instanceof WorkerCommand.Renew renew) {
			renew(worker, renew, outcome, step, now);
		}
		else if (command instanceof WorkerCommand.Checkpoint checkpoint) {
			checkpoint(worker, checkpoint, outcome, step, now);
		}
		else if (command instanceof WorkerCommand.Stop stop) {
			stop(worker, stop, outcome, step, now);
		}
		else if (command instanceof WorkerCommand.Throttle throttle && !(outcome instanceof WorkerOutcome.Done)) {
			TaskRecord task = this.state.find(throttle.task());
			if (task != null && task.worker == worker && throttle.id() > task.attemptCommand) {
				task.throttleLost = true;
			}
		}
	}

	private void start(WorkerRecord worker, WorkerCommand.Start command, WorkerOutcome outcome, StepBuilder step,
			MonotonicTime now) {
		this.leases.leaseCommandAnswered(worker, !(outcome instanceof WorkerOutcome.Refused), now);
		TaskRecord task = this.state.find(command.task().task());
		if (task == null || task.worker != worker || task.command != command.id()) {
			return;
		}
		task.command = 0;
		task.confirmCommand = this.state.lastCommand();
		if (outcome instanceof WorkerOutcome.Refused) {
			worker.refusedUntilNanos = now.plus(PAUSE_AFTER_REFUSAL).nanos();
			this.opening.refresh(worker, now);
			this.placements.release(task, now);
			return;
		}
		if (outcome instanceof WorkerOutcome.Done done) {
			TaskReport report = reportOf(done, command.task().task());
			if (report != null) {
				this.reports.take(task, report, command.id(), step, now);
			}
		}
		if (task.worker == worker && (task.state.isEnded() || task.state == TaskState.EVICTED)) {
			this.stops.stopIfPlaced(task, step);
		}
		else if (task.worker == worker && task.state == TaskState.STARTING) {
			// Without a report the next list of tasks tells whether the task runs.
			worker.renewDueNanos = now.nanos();
		}
	}

	private void renew(WorkerRecord worker, WorkerCommand.Renew command, WorkerOutcome outcome, StepBuilder step,
			MonotonicTime now) {
		this.leases.leaseCommandAnswered(worker, !(outcome instanceof WorkerOutcome.Refused), now);
		if (worker.renewCommand == command.id()) {
			worker.renewCommand = 0;
		}
		if (outcome instanceof WorkerOutcome.Done done) {
			this.reconciliation.apply(worker, command.id(), done.reports(), step, now);
		}
	}

	private void checkpoint(WorkerRecord worker, WorkerCommand.Checkpoint command, WorkerOutcome outcome,
			StepBuilder step, MonotonicTime now) {
		TaskRecord task = this.state.find(command.task());
		if (task == null || task.worker != worker || command.id() < task.attemptCommand) {
			return;
		}
		boolean outstanding = task.command == command.id();
		if (outstanding) {
			task.command = 0;
			// A task without a new checkpoint is not asked again before the next
			// interval.
			task.savedNanos = (task.state == TaskState.CHECKPOINTING) ? task.savedNanos : now.nanos();
		}
		if (outcome instanceof WorkerOutcome.Done done) {
			TaskReport report = reportOf(done, command.task());
			if (report != null) {
				this.reports.take(task, report, command.id(), step, now);
			}
		}
		if (outstanding && task.worker == worker && task.state == TaskState.CHECKPOINTING) {
			this.evictions.stop(task, step);
		}
	}

	private void stop(WorkerRecord worker, WorkerCommand.Stop command, WorkerOutcome outcome, StepBuilder step,
			MonotonicTime now) {
		if (worker.renewCommand == command.id()) {
			worker.renewCommand = 0;
			return;
		}
		if (worker.orphanCommand == command.id()) {
			worker.orphanCommand = 0;
			worker.renewDueNanos = now.nanos();
			this.opening.refresh(worker, now);
			return;
		}
		List<TaskRecord> named = new ArrayList<>(command.tasks().size());
		for (TaskId id : command.tasks()) {
			TaskRecord task = this.state.find(id);
			if (task != null && task.worker == worker && task.command == command.id()) {
				task.command = 0;
				named.add(task);
			}
		}
		if (!(outcome instanceof WorkerOutcome.Done done)) {
			worker.renewDueNanos = now.nanos();
			return;
		}
		for (TaskReport report : done.reports()) {
			TaskRecord task = this.state.find(report.task());
			if (task != null && named.contains(task) && task.worker == worker) {
				named.remove(task);
				stopped(task, report, command, step, now);
			}
		}
		for (TaskRecord task : named) {
			this.placements.release(task, now);
		}
	}

	private void stopped(TaskRecord task, TaskReport report, WorkerCommand.Stop command, StepBuilder step,
			MonotonicTime now) {
		switch (report.state()) {
			case RUNNING -> renewSoon(task.worker, now);
			case DONE -> this.reports.finished(task, step, now);
			case FAILED -> this.failures.failed(task, report.failure().orElse("no reason given"), step, now);
			case STOPPED -> this.reports.stopped(task, report, command.id(), step, now);
		}
	}

	private static void renewSoon(WorkerRecord worker, MonotonicTime now) {
		worker.renewDueNanos = now.nanos();
	}

	private static TaskReport reportOf(WorkerOutcome.Done done, TaskId task) {
		for (TaskReport report : done.reports()) {
			if (report.task().equals(task)) {
				return report;
			}
		}
		return null;
	}

}
