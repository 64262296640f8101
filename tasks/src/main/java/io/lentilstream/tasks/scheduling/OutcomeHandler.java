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
 * The handler for the outcomes of commands to workers. Outcomes may arrive in any order;
 * what one says about a task is used only if the command was sent during the current
 * attempt of the task.
 */
final class OutcomeHandler {

	private static final Duration PAUSE_AFTER_REFUSAL = Duration.ofSeconds(2);

	private final ShardState state;

	private final Placements placements;

	private final LeaseManager leaseManager;

	private final ReportHandler reportHandler;

	private final WorkerReconciler reconciler;

	private final TaskEvictor evictor;

	private final TaskStopper stopper;

	private final WorkerEligibility eligibility;

	private final RetryPolicy retryPolicy;

	OutcomeHandler(ShardState state, Placements placements, LeaseManager leaseManager, ReportHandler reportHandler,
			WorkerReconciler reconciler, TaskEvictor evictor, TaskStopper stopper, WorkerEligibility eligibility,
			RetryPolicy retryPolicy) {
		this.state = state;
		this.placements = placements;
		this.leaseManager = leaseManager;
		this.reportHandler = reportHandler;
		this.reconciler = reconciler;
		this.evictor = evictor;
		this.stopper = stopper;
		this.eligibility = eligibility;
		this.retryPolicy = retryPolicy;
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
			this.leaseManager.commandUnanswered(worker, now);
		}
		else {
			this.leaseManager.commandAnswered(worker, now);
		}
		if (command instanceof WorkerCommand.Start start) {
			handleStart(worker, start, outcome, step, now);
		}
		else if (command instanceof WorkerCommand.Renew renew) {
			handleRenew(worker, renew, outcome, step, now);
		}
		else if (command instanceof WorkerCommand.Checkpoint checkpoint) {
			handleCheckpoint(worker, checkpoint, outcome, step, now);
		}
		else if (command instanceof WorkerCommand.Stop stop) {
			handleStop(worker, stop, outcome, step, now);
		}
		else if (command instanceof WorkerCommand.Throttle throttle && !(outcome instanceof WorkerOutcome.Done)) {
			TaskRecord task = this.state.findTask(throttle.task());
			if (task != null && task.worker == worker && throttle.id() > task.startCommand) {
				task.throttleResendDue = true;
			}
		}
	}

	private void handleStart(WorkerRecord worker, WorkerCommand.Start command, WorkerOutcome outcome, StepBuilder step,
			MonotonicTime now) {
		this.leaseManager.leaseCommandCompleted(worker, !(outcome instanceof WorkerOutcome.Refused), now);
		TaskRecord task = this.state.findTask(command.task().task());
		if (task == null || task.worker != worker || task.outstandingCommand != command.id()) {
			return;
		}
		task.outstandingCommand = 0;
		task.newestCommandAtStart = this.state.lastCommand();
		if (outcome instanceof WorkerOutcome.Refused) {
			worker.startBackoffUntilNanos = now.plus(PAUSE_AFTER_REFUSAL).nanos();
			this.eligibility.refresh(worker, now);
			this.placements.release(task, now);
			return;
		}
		if (outcome instanceof WorkerOutcome.Done done) {
			TaskReport report = reportOf(done, command.task().task());
			if (report != null) {
				this.reportHandler.apply(task, report, command.id(), step, now);
			}
		}
		if (task.worker == worker && (task.state.isEnded() || task.state == TaskState.EVICTED)) {
			this.stopper.stopIfPlaced(task, step);
		}
		else if (task.worker == worker && task.state == TaskState.STARTING) {
			// Without a report, only the next list of tasks shows whether the task runs.
			worker.renewDueNanos = now.nanos();
		}
	}

	private void handleRenew(WorkerRecord worker, WorkerCommand.Renew command, WorkerOutcome outcome, StepBuilder step,
			MonotonicTime now) {
		this.leaseManager.leaseCommandCompleted(worker, !(outcome instanceof WorkerOutcome.Refused), now);
		if (worker.renewCommand == command.id()) {
			worker.renewCommand = 0;
		}
		if (outcome instanceof WorkerOutcome.Done done) {
			this.reconciler.apply(worker, command.id(), done.reports(), step, now);
		}
	}

	private void handleCheckpoint(WorkerRecord worker, WorkerCommand.Checkpoint command, WorkerOutcome outcome,
			StepBuilder step, MonotonicTime now) {
		TaskRecord task = this.state.findTask(command.task());
		if (task == null || task.worker != worker || command.id() < task.startCommand) {
			return;
		}
		boolean outstanding = task.outstandingCommand == command.id();
		if (outstanding) {
			task.outstandingCommand = 0;
			// Without a new checkpoint, the next request is made after a full interval.
			task.progressSavedNanos = (task.state == TaskState.CHECKPOINTING) ? task.progressSavedNanos : now.nanos();
		}
		if (outcome instanceof WorkerOutcome.Done done) {
			TaskReport report = reportOf(done, command.task());
			if (report != null) {
				this.reportHandler.apply(task, report, command.id(), step, now);
			}
		}
		if (outstanding && task.worker == worker && task.state == TaskState.CHECKPOINTING) {
			this.evictor.stop(task, step);
		}
	}

	private void handleStop(WorkerRecord worker, WorkerCommand.Stop command, WorkerOutcome outcome, StepBuilder step,
			MonotonicTime now) {
		if (worker.renewCommand == command.id()) {
			worker.renewCommand = 0;
			return;
		}
		if (worker.orphanStopCommand == command.id()) {
			worker.orphanStopCommand = 0;
			worker.renewDueNanos = now.nanos();
			this.eligibility.refresh(worker, now);
			return;
		}
		List<TaskRecord> stopping = new ArrayList<>(command.tasks().size());
		for (TaskId id : command.tasks()) {
			TaskRecord task = this.state.findTask(id);
			if (task != null && task.worker == worker && task.outstandingCommand == command.id()) {
				task.outstandingCommand = 0;
				stopping.add(task);
			}
		}
		if (!(outcome instanceof WorkerOutcome.Done done)) {
			worker.renewDueNanos = now.nanos();
			return;
		}
		for (TaskReport report : done.reports()) {
			TaskRecord task = this.state.findTask(report.task());
			if (task != null && stopping.contains(task) && task.worker == worker) {
				stopping.remove(task);
				handleStopReport(task, report, command, step, now);
			}
		}
		for (TaskRecord task : stopping) {
			this.placements.release(task, now);
		}
	}

	private void handleStopReport(TaskRecord task, TaskReport report, WorkerCommand.Stop command, StepBuilder step,
			MonotonicTime now) {
		switch (report.state()) {
			case RUNNING -> scheduleRenewal(task.worker, now);
			case DONE -> this.reportHandler.handleFinished(task, step, now);
			case FAILED -> this.retryPolicy.handleFailure(task, report.failure().orElse("no reason given"), step, now);
			case STOPPED -> this.reportHandler.handleStopped(task, report, command.id(), step, now);
		}
	}

	private static void scheduleRenewal(WorkerRecord worker, MonotonicTime now) {
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
