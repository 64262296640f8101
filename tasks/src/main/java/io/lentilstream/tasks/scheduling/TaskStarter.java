package io.lentilstream.tasks.scheduling;

import java.util.Iterator;
import java.util.Optional;

import io.lentilstream.clients.TaskSpecification;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.Resources;
import io.lentilstream.tasks.WorkerCommand;
import io.lentilstream.tasks.log.SizeFactor;

/**
 * The starter of waiting tasks. It places tasks while workers have room, before the
 * commit deadline only. The placement is a log entry of the step, so it is durable before
 * the start command is sent.
 */
final class TaskStarter {

	// Keeps a log entry well below the size limit of a store value.
	private static final int MAX_STARTS_PER_STEP = 2000;

	private final ShardState state;

	private final TaskLifecycle lifecycle;

	private final PendingQueue queue;

	private final Placements placements;

	private final WorkerSelector workerSelector;

	private final WorkerEligibility eligibility;

	private long pass;

	TaskStarter(ShardState state, TaskLifecycle lifecycle, PendingQueue queue, Placements placements,
			WorkerEligibility eligibility) {
		this.state = state;
		this.lifecycle = lifecycle;
		this.queue = queue;
		this.placements = placements;
		this.workerSelector = new WorkerSelector(state);
		this.eligibility = eligibility;
	}

	void apply(StepBuilder step, MonotonicTime now) {
		if (!this.state.mayCommit(now)) {
			return;
		}
		this.pass++;
		while (step.placementCount() < MAX_STARTS_PER_STEP) {
			TaskClass taskClass = this.queue.next();
			if (taskClass != null) {
				place(taskClass, step, now);
			}
			else if (!wakeForFreedCapacity()) {
				return;
			}
		}
	}

	private boolean wakeForFreedCapacity() {
		Iterator<WorkerRecord> workers = this.placements.freedWorkers().iterator();
		while (workers.hasNext()) {
			if (this.queue.wakeOne(workers.next(), this.pass)) {
				return true;
			}
			workers.remove();
		}
		return false;
	}

	private void place(TaskClass taskClass, StepBuilder step, MonotonicTime now) {
		Resources size = taskClass.size(this.state.largestVm);
		if (!taskClass.team.allows(size)) {
			this.queue.markLimited(taskClass);
			return;
		}
		TaskGroup group = taskClass.head();
		WorkerRecord worker = this.workerSelector.choose(group, size, now);
		if (worker == null) {
			taskClass.failedPass = this.pass;
			this.queue.markBlocked(taskClass, size);
			return;
		}
		if (!this.state.ledger.tryCommit(worker.ledgerIndex, size, taskClass.isUrgent())) {
			throw new IllegalStateException("the ledger refused a commitment on a worker with room");
		}
		start(group.pollNext(), worker, taskClass.cappedFactor(this.state.largestVm), size, step, now);
		taskClass.blockedSize = null;
		taskClass.unplaceable = false;
		group.waitingSinceNanos = now.nanos();
		this.queue.rotate(taskClass);
		this.eligibility.afterPlacement(worker, now);
	}

	private void start(TaskRecord task, WorkerRecord worker, SizeFactor factor, Resources size, StepBuilder step,
			MonotonicTime now) {
		this.placements.attach(task, worker, factor, size);
		this.lifecycle.apply(task, TaskEvent.PLACED);
		task.startCommand = this.state.nextCommand();
		task.outstandingCommand = task.startCommand;
		task.progressSavedNanos = now.nanos();
		worker.outstandingLeaseCommands++;
		if (worker.tasks.size() == 1) {
			worker.renewDueNanos = now.plus(this.state.settings.taskLease().dividedBy(LeaseManager.RENEWALS_PER_LEASE))
				.nanos();
		}
		this.state.totals.starts++;
		step.addPlacement(task);
		TaskClass.Key key = task.group.taskClass.key;
		TaskSpecification specification = new TaskSpecification(this.state.taskId(task), size, key.urgency(),
				key.program(), Optional.ofNullable(task.checkpoint));
		step.addCommand(worker,
				new WorkerCommand.Start(task.startCommand, specification, this.state.settings.taskLease()));
	}

}
