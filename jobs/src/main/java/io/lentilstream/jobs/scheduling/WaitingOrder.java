package io.lentilstream.jobs.scheduling;

import java.util.Comparator;

/**
 * Orders waiting tasks: the queue's priority first, then the time by which a task has to
 * start for its job to meet its objective. Load pattern: a burst of wide, deferrable jobs
 * beside short urgent ones, where first-in-first-out would hold the short ones up.
 */
final class WaitingOrder implements Comparator<Task> {

	@Override
	public int compare(Task first, Task second) {
		int order = Integer.compare(first.job.policy.priority(), second.job.policy.priority());
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

}
