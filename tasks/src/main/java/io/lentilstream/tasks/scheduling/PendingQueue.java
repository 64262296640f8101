package io.lentilstream.tasks.scheduling;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.Resources;
import io.lentilstream.model.Urgency;

/**
 * Orders waiting tasks: by urgency, then by the weighted dominant share of their team,
 * then in turn by class and by job. A class that fits nowhere leaves the order until room
 * for it appears, so it blocks nothing behind it.
 */
final class PendingQueue {

	private final ShardState state;

	private final List<List<TeamRecord>> active = new ArrayList<>();

	private final Map<Shape, List<WorkClass>> blocked = new HashMap<>();

	private final ArrayDeque<TaskGroup> delayed = new ArrayDeque<>();

	PendingQueue(ShardState state) {
		this.state = state;
		for (int i = 0; i < Urgency.values().length; i++) {
			this.active.add(new ArrayList<>());
		}
	}

	void offer(TaskGroup group, boolean front) {
		if (!group.hasWaiting() || group.delayed) {
			return;
		}
		WorkClass workClass = group.workClass;
		if (!group.queued) {
			group.queued = true;
			if (front) {
				workClass.queue.addFirst(group);
			}
			else {
				workClass.queue.addLast(group);
			}
		}
		if (workClass.status == WorkClass.Status.IDLE) {
			ready(workClass);
		}
	}

	/**
	 * Returns a task to the queue, ahead of tasks that were never placed.
	 * @param task the task
	 * @param now the current time
	 */
	void putBack(TaskRecord task, MonotonicTime now) {
		TaskGroup group = task.group;
		if (!group.queued && !group.delayed) {
			group.waitingSinceNanos = now.nanos();
		}
		group.addReturned(task);
		offer(group, true);
	}

	/**
	 * Holds a group back for a while after a failure.
	 * @param group the group
	 * @param untilNanos the time until which nothing of it is placed
	 */
	void delay(TaskGroup group, long untilNanos) {
		group.delayedUntilNanos = untilNanos;
		if (!group.delayed) {
			group.delayed = true;
			this.delayed.add(group);
		}
	}

	void releaseDelayed(MonotonicTime now) {
		for (Iterator<TaskGroup> groups = this.delayed.iterator(); groups.hasNext();) {
			TaskGroup group = groups.next();
			if (now.nanos() - group.delayedUntilNanos >= 0) {
				groups.remove();
				group.delayed = false;
				offer(group, false);
			}
		}
	}

	/**
	 * Returns the class to try next.
	 * @return the class; {@code null} if none can be tried
	 */
	WorkClass next() {
		for (int urgency = 0; urgency < this.active.size(); urgency++) {
			WorkClass workClass = next(urgency);
			if (workClass != null) {
				return workClass;
			}
		}
		return null;
	}

	private WorkClass next(int urgency) {
		List<TeamRecord> teams = this.active.get(urgency);
		while (!teams.isEmpty()) {
			int best = 0;
			for (int i = 1; i < teams.size(); i++) {
				if (teams.get(i).share < teams.get(best).share) {
					best = i;
				}
			}
			ArrayDeque<WorkClass> classes = teams.get(best).ready.get(urgency);
			while (!classes.isEmpty()) {
				WorkClass workClass = classes.peekFirst();
				if (workClass.head() != null) {
					return workClass;
				}
				workClass.status = WorkClass.Status.IDLE;
				classes.removeFirst();
			}
			teams.set(best, teams.get(teams.size() - 1));
			teams.remove(teams.size() - 1);
		}
		return null;
	}

	/**
	 * Moves a class and its first job behind the others after a task of it was placed.
	 * @param workClass the class returned by {@link #next}
	 */
	void rotate(WorkClass workClass) {
		ArrayDeque<WorkClass> classes = readyOf(workClass);
		classes.addLast(classes.removeFirst());
		if (workClass.queue.size() > 1) {
			workClass.queue.addLast(workClass.queue.removeFirst());
		}
	}

	void block(WorkClass workClass, Resources size) {
		readyOf(workClass).removeFirst();
		workClass.status = WorkClass.Status.BLOCKED;
		workClass.blockedSize = size;
		this.blocked.computeIfAbsent(new Shape(size, workClass.urgent()), (shape) -> new ArrayList<>()).add(workClass);
	}

	void limit(WorkClass workClass) {
		readyOf(workClass).removeFirst();
		workClass.status = WorkClass.Status.LIMITED;
		workClass.team.limited.add(workClass);
	}

	void unlimit(TeamRecord team) {
		if (!team.limited.isEmpty()) {
			List<WorkClass> classes = List.copyOf(team.limited);
			team.limited.clear();
			classes.forEach(this::ready);
		}
	}

	/**
	 * Makes the most urgent blocked class that fits on a worker ready again; among equals
	 * the one whose team has the smallest share.
	 * @param worker the worker
	 * @param pass the placement pass; a class that failed in it is not considered
	 * @return whether a class became ready
	 */
	boolean wake(WorkerRecord worker, long pass) {
		WorkClass best = null;
		List<WorkClass> from = null;
		for (Map.Entry<Shape, List<WorkClass>> entry : this.blocked.entrySet()) {
			Shape shape = entry.getKey();
			if (!this.state.ledger.canCommit(worker.ledgerIndex, shape.size(), shape.urgent())) {
				continue;
			}
			for (WorkClass candidate : entry.getValue()) {
				if (candidate.failedPass != pass && (best == null || isBefore(candidate, best))) {
					best = candidate;
					from = entry.getValue();
				}
			}
		}
		if (best == null) {
			return false;
		}
		from.remove(best);
		ready(best);
		return true;
	}

	/**
	 * Makes all blocked classes ready, since their sizes or the workers may have changed.
	 */
	void wakeAll() {
		List<WorkClass> classes = blockedClasses();
		this.blocked.clear();
		classes.forEach(this::ready);
	}

	List<WorkClass> blockedClasses() {
		List<WorkClass> classes = new ArrayList<>();
		this.blocked.values().forEach(classes::addAll);
		return classes;
	}

	private static boolean isBefore(WorkClass first, WorkClass second) {
		int order = first.key.urgency().compareTo(second.key.urgency());
		return (order != 0) ? (order < 0) : (first.team.share < second.team.share);
	}

	private void ready(WorkClass workClass) {
		if (workClass.head() == null) {
			workClass.status = WorkClass.Status.IDLE;
			workClass.blockedSize = null;
			workClass.unplaceable = false;
			return;
		}
		workClass.status = WorkClass.Status.READY;
		ArrayDeque<WorkClass> classes = readyOf(workClass);
		if (classes.isEmpty()) {
			List<TeamRecord> teams = this.active.get(workClass.key.urgency().ordinal());
			if (!teams.contains(workClass.team)) {
				teams.add(workClass.team);
			}
		}
		classes.addLast(workClass);
	}

	private static ArrayDeque<WorkClass> readyOf(WorkClass workClass) {
		return workClass.team.ready.get(workClass.key.urgency().ordinal());
	}

	private record Shape(Resources size, boolean urgent) {
	}

}
