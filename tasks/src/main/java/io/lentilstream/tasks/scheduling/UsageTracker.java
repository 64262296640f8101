package io.lentilstream.tasks.scheduling;

import java.util.List;

import io.lentilstream.clients.TaskReport;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.Resources;
import io.lentilstream.tasks.log.SizeFactor;

/**
 * The tracker of the measured usage and slowdown of running tasks. It updates the
 * estimates, and raises the commitment of a task that uses more than is committed for it.
 * Commitments of running tasks are never lowered: a new owner recovers the sizes with
 * which tasks were started, and their sum must fit.
 */
final class UsageTracker {

	private final ShardState state;

	private final Placements placements;

	UsageTracker(ShardState state, Placements placements) {
		this.state = state;
		this.placements = placements;
	}

	void observe(TaskRecord task, TaskReport report, MonotonicTime now) {
		Resources used = report.used();
		if (used.milliCores() <= 0 && used.memoryMegabytes() <= 0) {
			// The worker has not measured the task yet.
			return;
		}
		task.usedMilliCores = (int) Math.min(Integer.MAX_VALUE, used.milliCores());
		TaskClass taskClass = task.group.taskClass;
		Resources declared = taskClass.key.declared();
		// The usage of a throttled task reflects its limit, not its demand.
		if (task.throttle > 1) {
			taskClass.estimator.observe((double) used.milliCores() / declared.milliCores(),
					(double) used.memoryMegabytes() / declared.memoryMegabytes());
		}
		raise(task, used, declared);
		learnInterference(task, report.slowdown(), now);
	}

	private void raise(TaskRecord task, Resources used, Resources declared) {
		int cores = Math.max(task.sizeFactor.coreSixteenths(), sixteenths(used.milliCores(), declared.milliCores()));
		int memory = Math.max(task.sizeFactor.memorySixteenths(),
				sixteenths(used.memoryMegabytes(), declared.memoryMegabytes()));
		if (cores > task.sizeFactor.coreSixteenths() || memory > task.sizeFactor.memorySixteenths()) {
			this.placements.tryIncrease(task, new SizeFactor(cores, memory));
		}
	}

	private void learnInterference(TaskRecord task, double slowdown, MonotonicTime now) {
		List<TaskClass> classes = task.worker.classes();
		for (int i = 0; i < classes.size(); i++) {
			TaskClass other = classes.get(i);
			if (other != task.group.taskClass) {
				this.state.interference.observe(task.group.taskClass.id, other.id, slowdown, now);
			}
		}
	}

	private static int sixteenths(long used, long declared) {
		return (int) Math.min(4L * SizeFactor.ONE, (used * SizeFactor.ONE + declared - 1) / declared);
	}

}
