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
 * The waiting tasks, ordered by urgency, then by the weighted dominant share of their
 * team, then round-robin by task class and by job. A class for which no worker has room
 * leaves the order until room appears, so it does not block the classes behind it.
 */
final class PendingQueue {

	private final ShardState state;

	private final List<List<TeamRecord>> teamsByUrgency = new ArrayList<>();

	private final Map<Shape, List<TaskClass>> blocked = new HashMap<>();

	private final ArrayDeque<TaskGroup> delayed = new ArrayDeque<>();

	PendingQueue(ShardState state) {
		this.state = state;
		for (int i = 0; i < Urgency.values().length; i++) {
			this.teamsByUrgency.add(new ArrayList<>());
		}
	}

	void offer(TaskGroup group, boolean front) {
		if (!group.hasWaiting() || group.delayed) {
			return;
		}
		TaskClass taskClass = group.taskClass;
		if (!group.queued) {
			group.queued = true;
			if (front) {
				taskClass.queue.addFirst(group);
			}
			else {
				taskClass.queue.addLast(group);
			}
		}
		if (taskClass.status == TaskClass.Status.IDLE) {
			markReady(taskClass);
		}
	}

	/**
	 * Puts a task back into the queue, ahead of tasks that were never placed.
	 * @param task the task
	 * @param now the current time
	 */
	void requeue(TaskRecord task, MonotonicTime now) {
		TaskGroup group = task.group;
		if (!group.queued && !group.delayed) {
			group.waitingSinceNanos = now.nanos();
		}
		group.requeue(task);
		offer(group, true);
	}

	/**
	 * Delays the placement of a group after a failure.
	 * @param group the group
	 * @param untilNanos the time until which no task of the group is placed
	 */
	void delay(TaskGroup group, long untilNanos) {
		group.delayedUntilNanos = untilNanos;
		if (!group.delayed) {
			group.delayed = true;
			this.delayed.add(group);
		}
	}

	void requeueDelayed(MonotonicTime now) {
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
	 * Returns the task class to place next.
	 * @return the class; {@code null} if none is ready
	 */
	TaskClass next() {
		for (int urgency = 0; urgency < this.teamsByUrgency.size(); urgency++) {
			TaskClass taskClass = next(urgency);
			if (taskClass != null) {
				return taskClass;
			}
		}
		return null;
	}

	private TaskClass next(int urgency) {
		List<TeamRecord> teams = this.teamsByUrgency.get(urgency);
		while (!teams.isEmpty()) {
			int best = 0;
			for (int i = 1; i < teams.size(); i++) {
				if (teams.get(i).weightedShare < teams.get(best).weightedShare) {
					best = i;
				}
			}
			ArrayDeque<TaskClass> classes = teams.get(best).readyClasses.get(urgency);
			while (!classes.isEmpty()) {
				TaskClass taskClass = classes.peekFirst();
				if (taskClass.head() != null) {
					return taskClass;
				}
				taskClass.status = TaskClass.Status.IDLE;
				classes.removeFirst();
			}
			teams.set(best, teams.get(teams.size() - 1));
			teams.remove(teams.size() - 1);
		}
		return null;
	}

	/**
	 * Moves a task class and its first group to the end of their queues.
	 * @param taskClass the class returned by {@link #next}
	 */
	void rotate(TaskClass taskClass) {
		ArrayDeque<TaskClass> classes = readyQueue(taskClass);
		classes.addLast(classes.removeFirst());
		if (taskClass.queue.size() > 1) {
			taskClass.queue.addLast(taskClass.queue.removeFirst());
		}
	}

	void markBlocked(TaskClass taskClass, Resources size) {
		readyQueue(taskClass).removeFirst();
		taskClass.status = TaskClass.Status.BLOCKED;
		taskClass.blockedSize = size;
		this.blocked.computeIfAbsent(new Shape(size, taskClass.isUrgent()), (shape) -> new ArrayList<>())
			.add(taskClass);
	}

	void markLimited(TaskClass taskClass) {
		readyQueue(taskClass).removeFirst();
		taskClass.status = TaskClass.Status.LIMITED;
		taskClass.team.limitedClasses.add(taskClass);
	}

	void readyLimitedClasses(TeamRecord team) {
		if (!team.limitedClasses.isEmpty()) {
			List<TaskClass> classes = List.copyOf(team.limitedClasses);
			team.limitedClasses.clear();
			classes.forEach(this::markReady);
		}
	}

	/**
	 * Makes the most urgent blocked class that fits on a worker ready again; among
	 * equally urgent classes, the one whose team has the smallest share.
	 * @param worker the worker
	 * @param pass the placement pass; a class that failed in it is not considered
	 * @return whether a class became ready
	 */
	boolean wakeOne(WorkerRecord worker, long pass) {
		TaskClass best = null;
		List<TaskClass> from = null;
		for (Map.Entry<Shape, List<TaskClass>> entry : this.blocked.entrySet()) {
			Shape shape = entry.getKey();
			if (!this.state.ledger.canCommit(worker.ledgerIndex, shape.size(), shape.urgent())) {
				continue;
			}
			for (TaskClass candidate : entry.getValue()) {
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
		markReady(best);
		return true;
	}

	/**
	 * Makes all blocked classes ready again, since sizes or workers may have changed.
	 */
	void wakeAll() {
		List<TaskClass> classes = blockedClasses();
		this.blocked.clear();
		classes.forEach(this::markReady);
	}

	List<TaskClass> blockedClasses() {
		List<TaskClass> classes = new ArrayList<>();
		this.blocked.values().forEach(classes::addAll);
		return classes;
	}

	private static boolean isBefore(TaskClass first, TaskClass second) {
		int order = first.key.urgency().compareTo(second.key.urgency());
		return (order != 0) ? (order < 0) : (first.team.weightedShare < second.team.weightedShare);
	}

	private void markReady(TaskClass taskClass) {
		if (taskClass.head() == null) {
			taskClass.status = TaskClass.Status.IDLE;
			taskClass.blockedSize = null;
			taskClass.unplaceable = false;
			return;
		}
		taskClass.status = TaskClass.Status.READY;
		ArrayDeque<TaskClass> classes = readyQueue(taskClass);
		if (classes.isEmpty()) {
			List<TeamRecord> teams = this.teamsByUrgency.get(taskClass.key.urgency().ordinal());
			if (!teams.contains(taskClass.team)) {
				teams.add(taskClass.team);
			}
		}
		classes.addLast(taskClass);
	}

	private static ArrayDeque<TaskClass> readyQueue(TaskClass taskClass) {
		return taskClass.team.readyClasses.get(taskClass.key.urgency().ordinal());
	}

	private record Shape(Resources size, boolean urgent) {
	}

}
