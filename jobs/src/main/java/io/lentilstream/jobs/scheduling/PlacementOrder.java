package io.lentilstream.jobs.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.lentilstream.jobs.sharing.ShareCandidate;
import io.lentilstream.jobs.sharing.ShareUse;
import io.lentilstream.jobs.sharing.SharedOrder;

/**
 * The order in which a placement pass goes through the waiting tasks. Where weighted
 * shares are enabled, short tasks of the same priority take the order of shares.
 */
final class PlacementOrder {

	private static final int SHORT_TASK_RANK = 1;

	/** The time between two log lines of a queue, in milliseconds. */
	private static final long LOG_PERIOD_MILLIS = 1000;

	private final SchedulerState state;

	private long nextLogAt = Long.MIN_VALUE;

	PlacementOrder(SchedulerState state) {
		this.state = state;
	}

	List<Task> waitingTasks(long now) {
		if (!this.state.settings.enabled(SchedulerFeature.WEIGHTED_SHARES)) {
			return List.copyOf(this.state.waiting);
		}
		Set<Job> runningJobs = new HashSet<>();
		Map<Integer, Map<String, ShareUse>> use = new HashMap<>();
		for (Worker worker : this.state.workers.values()) {
			for (Run run : worker.runs.values()) {
				runningJobs.add(run.task.job);
				addUse(run.task, use);
			}
		}
		List<Task> ordered = new ArrayList<>(this.state.waiting.size());
		logIfDue(use, now);
		Map<Integer, List<ShareCandidate<Task>>> sharing = new HashMap<>();
		for (Task task : this.state.waiting) {
			if (task.rank() == SHORT_TASK_RANK) {
				sharing.computeIfAbsent(task.job.policy.priority(), (priority) -> new ArrayList<>())
					.add(candidate(task, runningJobs));
			}
		}
		for (Task task : this.state.waiting) {
			List<ShareCandidate<Task>> peers = sharing.get(task.job.policy.priority());
			if (task.rank() != SHORT_TASK_RANK) {
				ordered.add(task);
			}
			else if (peers != null) {
				int priority = task.job.policy.priority();
				ordered.addAll(SharedOrder.order(peers, use.getOrDefault(priority, Map.of())));
				sharing.remove(priority);
			}
		}
		return ordered;
	}

	private void logIfDue(Map<Integer, Map<String, ShareUse>> use, long now) {
		if (now < this.nextLogAt || this.state.waiting.isEmpty()) {
			return;
		}
		this.nextLogAt = now + LOG_PERIOD_MILLIS;
		use.forEach((priority,
				queues) -> queues.forEach((queue, used) -> this.state.log.append("share", queue, "priority", priority,
						"queues", queues.size(), "used-mcores", used.milliCores(), "late-mcores", used.lateMilliCores(),
						"waiting-tasks", this.state.waiting.size())));
	}

	private static void addUse(Task task, Map<Integer, Map<String, ShareUse>> use) {
		if (task.rank() != SHORT_TASK_RANK) {
			return;
		}
		Map<String, ShareUse> byQueue = use.computeIfAbsent(task.job.policy.priority(), (priority) -> new HashMap<>());
		String queue = task.job.submission.queue();
		byQueue.put(queue,
				byQueue.getOrDefault(queue, ShareUse.NONE).plus(task.spec().size().milliCores(), isLate(task)));
	}

	private static boolean isLate(Task task) {
		return task.dueAt == Long.MAX_VALUE;
	}

	private static ShareCandidate<Task> candidate(Task task, Set<Job> runningJobs) {
		boolean started = task.step.done > 0 || !task.spec().dependsOn().isEmpty() || runningJobs.contains(task.job);
		return new ShareCandidate<>(task, task.job.submission.queue(), task.spec().size().milliCores(), started,
				isLate(task), task.waitingSince);
	}

}
