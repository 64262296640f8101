package io.lentilstream.tasks.scheduling;

import java.util.Iterator;
import java.util.Optional;

import io.lentilstream.clients.TaskSpecification;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.Resources;
import io.lentilstream.tasks.WorkerCommand;
import io.lentilstream.tasks.log.SizeFactor;

/**
 * Places waiting tasks while there is room, before the commit deadline only. The
 * placement is an entry of the step, so it is durable before the start command is sent.
 */
final class StartRule {

	// Keeps one entry well under the size limit of a store value.
	private static final int MAX_STARTS_PER_STEP = 2000;

	private final ShardState state;

	private final Lifecycle lifecycle;

	private final PendingQueue queue;

	private final Placements placements;

	private final PlacementDecider decider;

	private final WorkerOpeningRule opening;

	private long pass;

	StartRule(ShardState state, Lifecycle lifecycle, PendingQueue queue, Placements placements,
			WorkerOpeningRule opening) {
		this.state = state;
		this.lifecycle = lifecycle;
		this.queue = queue;
		this.placements = placements;
		this.decider = new PlacementDecider(state);
		this.opening = opening;
	}

	void apply(StepBuilder step, MonotonicTime now) {
		if (!this.state.mayCommit(now)) {
			return;
		}
		this.pass++;
		while (step.placedCount() < MAX_STARTS_PER_STEP) {
			WorkClass workClass = this.queue.next();
			if (workClass != null) {
				place(workClass, step, now);
			}
			else if (!wakeForFreedRoom()) {
				return;
			}
		}
	}

	private boolean wakeForFreedRoom() {
		Iterator<WorkerRecord> workers = this.placements.freed().iterator();
		while (workers.hasNext()) {
			if (this.queue.wake(workers.next(), this.pass)) {
				return true;
			}
			workers.remove();
		}
		return false;
	}

	private void place(WorkClass workClass, StepBuilder step, MonotonicTime now) {
		Resources size = workClass.size(this.state.largestVm);
		if (!workClass.team.allows(size)) {
			this.queue.limit(workClass);
			return;
		}
		TaskGroup group = workClass.head();
		WorkerRecord worker = this.decider.choose(group, size, now);
		if (worker == null) {
			workClass.failedPass = this.pass;
			this.queue.block(workClass, size);
			return;
		}
		if (!this.state.ledger.tryCommit(worker.ledgerIndex, size, workClass.urgent())) {
			throw new IllegalStateException("a worker with room refused a commitment");
		}
		start(group.takeNext(), worker, workClass.factor(this.state.largestVm), size, step, now);
		workClass.blockedSize = null;
		workClass.unplaceable = false;
		group.waitingSinceNanos = now.nanos();
		this.queue.rotate(workClass);
		this.opening.afterPlacement(worker, now);
	}

	private void start(TaskRecord task, WorkerRecord worker, SizeFactor factor, Resources size, StepBuilder step,
			MonotonicTime now) {
		this.placements.attach(task, worker, factor, size);
		this.lifecycle.apply(task, TaskEvent.PLACED);
		task.attemptCommand = this.state.nextCommand();
		task.command = task.attemptCommand;
		task.savedNanos = now.nanos();
		worker.leaseCommands++;
		if (worker.tasks.size() == 1) {
			worker.renewDueNanos = now.plus(this.state.settings.taskLease().dividedBy(LeaseRule.RENEWALS_PER_LEASE))
				.nanos();
		}
		this.state.totals.starts++;
		step.placed(task);
		WorkClass.Key key = task.group.workClass.key;
		TaskSpecification specification = new TaskSpecification(this.state.idOf(task), size, key.urgency(),
				key.program(), Optional.ofNullable(task.checkpoint));
		step.send(worker, new WorkerCommand.Start(task.attemptCommand, specification, this.state.settings.taskLease()));
	}

}
