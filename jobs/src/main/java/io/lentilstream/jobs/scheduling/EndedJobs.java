package io.lentilstream.jobs.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

import io.lentilstream.jobs.JobState;
import io.lentilstream.model.JobId;

/**
 * The jobs that have ended and of which nothing runs any more. Load pattern: jobs that
 * end for hours at a high rate, or an outage of the store in which none can be deleted,
 * with many thousand left to the next leader.
 */
final class EndedJobs {

	/**
	 * How long the tasks of an ended job are remembered, in milliseconds, so that a start
	 * that a VM carries out late is recognized.
	 */
	private static final long KEEP_TASKS_MILLIS = 15_000;

	private final SchedulerState state;

	private final TakeoverTracker takeover;

	private final Map<JobId, EndedJob> jobs = new HashMap<>();

	EndedJobs(SchedulerState state, TakeoverTracker takeover) {
		this.state = state;
		this.takeover = takeover;
	}

	/**
	 * Adds a job that had ended before this scheduler took over.
	 * @param id the job
	 * @param finalState its state
	 * @param endedAtMillis when it ended, in milliseconds since 1970
	 * @param now the current time in milliseconds
	 */
	void load(JobId id, JobState finalState, long endedAtMillis, long now) {
		this.jobs.put(id, new EndedJob(finalState, endedAtMillis, now, finalState != JobState.COMPLETED));
	}

	EndedJob find(JobId id) {
		return this.jobs.get(id);
	}

	void remove(JobId id) {
		this.jobs.remove(id);
	}

	int count() {
		return this.jobs.size();
	}

	/**
	 * Returns jobs that ended before a time.
	 * @param before the time in milliseconds since 1970
	 * @param maxJobs the maximum number of jobs
	 * @return the ids
	 */
	List<JobId> endedBefore(long before, int maxJobs) {
		List<JobId> found = new ArrayList<>();
		for (Map.Entry<JobId, EndedJob> entry : this.jobs.entrySet()) {
			if (found.size() == maxJobs) {
				break;
			}
			if (entry.getValue().endedAtMillis < before) {
				found.add(entry.getKey());
			}
		}
		return found;
	}

	/**
	 * Discards the tasks of jobs whose end is stored and of which nothing runs.
	 * @param now the current time in milliseconds
	 */
	void discardTasks(long now) {
		if (this.takeover.pending()) {
			return;
		}
		Iterator<Job> active = this.state.jobs.values().iterator();
		while (active.hasNext()) {
			Job job = active.next();
			if (job.storedState.ended() && now - job.endedAt >= KEEP_TASKS_MILLIS && job.hasNoRuns()
					&& !this.state.changedJobs.contains(job)) {
				this.jobs.put(job.id(), new EndedJob(job.storedState, job.endedAtMillis, job.endedAt, false));
				this.state.suspects.removeIf((task) -> task.job == job);
				active.remove();
			}
		}
	}

}
