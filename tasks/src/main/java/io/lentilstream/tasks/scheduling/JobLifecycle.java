package io.lentilstream.tasks.scheduling;

import io.lentilstream.model.MonotonicTime;
import io.lentilstream.tasks.TaskState;

/**
 * The lifecycle of jobs: ends whole jobs, in time linear in their tasks, and removes
 * ended jobs after the retention time.
 */
final class JobLifecycle {

	private final ShardState state;

	private final TaskLifecycle lifecycle;

	private final TaskStopper stopper;

	JobLifecycle(ShardState state, TaskLifecycle lifecycle, TaskStopper stopper) {
		this.state = state;
		this.lifecycle = lifecycle;
		this.stopper = stopper;
	}

	/**
	 * Ends all tasks of a job that have not ended. Tasks that hold capacity keep it until
	 * their stop is confirmed.
	 * @param job the job
	 * @param end {@code CANCELLED} or {@code FAILED}
	 * @param step the step to which the stop commands are added
	 * @param now the current time
	 * @return the number of tasks that were ended
	 */
	int endAll(JobRecord job, TaskState end, StepBuilder step, MonotonicTime now) {
		int before = job.unendedTasks();
		if (before == 0) {
			return 0;
		}
		TaskEvent event = (end == TaskState.CANCELLED) ? TaskEvent.CANCELLED : TaskEvent.GIVEN_UP;
		job.endedAs = end;
		for (TaskGroup group : job.groups) {
			for (int i = group.first; i < group.firstUnplaced; i++) {
				TaskRecord task = job.tasks[i];
				if (task != null && task.group != null && !task.state.isEnded()) {
					this.lifecycle.apply(task, event);
					this.stopper.stopIfPlaced(task, step);
				}
			}
			this.lifecycle.endUnplaced(group, end);
		}
		recordEndIfEnded(job, now);
		return before;
	}

	void recordEndIfEnded(JobRecord job, MonotonicTime now) {
		if (!job.endRecorded && job.unendedTasks() == 0) {
			job.endRecorded = true;
			job.endedNanos = now.nanos();
			this.state.endedJobs.add(job);
		}
	}

	void removeExpired(MonotonicTime now) {
		long retention = this.state.settings.jobRetention().toNanos();
		while (!this.state.endedJobs.isEmpty()) {
			JobRecord job = this.state.endedJobs.peekFirst();
			if (now.nanos() - job.endedNanos < retention) {
				return;
			}
			this.state.endedJobs.removeFirst();
			if (holdsCapacity(job)) {
				job.endedNanos = now.nanos();
				this.state.endedJobs.addLast(job);
				return;
			}
			this.state.removeJob(job);
		}
	}

	private static boolean holdsCapacity(JobRecord job) {
		for (TaskRecord task : job.tasks) {
			if (task != null && task.worker != null) {
				return true;
			}
		}
		return false;
	}

}
