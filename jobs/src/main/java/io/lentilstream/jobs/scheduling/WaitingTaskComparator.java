package io.lentilstream.jobs.scheduling;

import java.util.Comparator;

/**
 * Orders waiting tasks by the priority of their queue, then by rank (restarts of
 * long-running tasks, short tasks, first runs of long-running tasks), then by the time by
 * which a task has to start. Once that time has passed, the latest start with which the
 * late job is still of use takes its place; after that the task comes behind all others
 * of its rank. Load pattern: a burst of deferrable work that exceeds the capacity, in
 * which every job would otherwise end slightly late.
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

	// The first tasks of all jobs come before the second ones. Tasks of the same image
	// are adjacent, so that they share VMs; among them, those with a limit per VM come
	// first and open up VMs for the others. Large tasks come before small ones, which
	// are easier to place.
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
