package io.lentilstream.jobs.scheduling;

import java.util.Comparator;

/**
 * Orders waiting tasks: the queue's priority first, long-running tasks that have to be
 * back, short tasks, long-running tasks that have not run yet, then the time by which a
 * task has to start. A task that has missed the start for its objective waits by the
 * start with which its job ends late, and after that behind all others. Load pattern: a
 * burst of more deferrable work than fits, where each job would otherwise end just too
 * late.
 */
final class WaitingTaskComparator implements Comparator<Task> {

	@Override
	public int compare(Task first, Task second) {
		int order = Integer.compare(first.job.policy.priority(), second.job.policy.priority());
		if (order == 0) {
			order = Integer.compare(first.rank(), second.rank());
		}
		if (order == 0 && first.rank() > 1) {
			order = compareFirstRuns(first, second);
		}
		if (order == 0) {
			order = Long.compare(first.dueAt, second.dueAt);
		}
		if (order == 0) {
			order = first.job.id().compareTo(second.job.id());
		}
		if (order == 0) {
			order = Integer.compare(first.name.occurrence(), second.name.occurrence());
		}
		if (order == 0) {
			order = Integer.compare(first.name.step(), second.name.step());
		}
		return (order != 0) ? order : Integer.compare(first.name.index(), second.name.index());
	}

	// Each job's first task comes before any job's second one. Tasks of one image follow
	// each other, so that they share VMs; those that have to be spread out open VMs
	// for the others. Large tasks come before small ones, which find room anyway.
	private static int compareFirstRuns(Task first, Task second) {
		int order = Integer.compare(first.name.index(), second.name.index());
		if (order == 0) {
			order = first.spec().image().compareTo(second.spec().image());
		}
		if (order == 0) {
			order = Boolean.compare(spread(second), spread(first));
		}
		return (order != 0) ? order : Long.compare(second.spec().size().milliCores(), first.spec().size().milliCores());
	}

	private static boolean spread(Task task) {
		return task.spec().placement().maxPerWorker() > 0;
	}

}
