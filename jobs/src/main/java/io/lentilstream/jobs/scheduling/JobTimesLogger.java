package io.lentilstream.jobs.scheduling;

import java.util.List;
import java.util.function.LongSupplier;

import io.lentilstream.jobs.JobState;
import io.lentilstream.jobs.accounting.JobTimes;

/**
 * Logs where the time of an ended job went, on one line, so that the cause of a late job
 * is known even if the lines of its tasks are left out under load.
 */
final class JobTimesLogger {

	private final SchedulerState state;

	private final LongSupplier timeOfDay;

	JobTimesLogger(SchedulerState state, LongSupplier timeOfDay) {
		this.state = state;
		this.timeOfDay = timeOfDay;
	}

	/**
	 * Logs the times of a job or of an occurrence that has ended.
	 * @param job the job
	 * @param steps the steps of the last occurrence
	 * @param outcome how it ended
	 * @param now the current time in milliseconds
	 */
	void log(Job job, List<StepState> steps, JobState outcome, long now) {
		if (job.submission.longRunning()) {
			return;
		}
		JobTimes times = JobTimes.of(steps.stream()
			.map((step) -> new JobTimes.StepTimers(step.spec.dependsOn(),
					step.tasks().stream().map((task) -> task.timer).toList()))
			.toList(), now);
		int occurrence = steps.get(0).occurrence;
		long dueMillis = Math.max(job.submission.acceptedAtMillis(), job.submission.schedule().dueMillis(occurrence));
		long knownMillis = this.timeOfDay.getAsLong() - (now - job.knownSince);
		long wall = this.timeOfDay.getAsLong() - dueMillis;
		long size = steps.stream().mapToLong((step) -> step.spec.size().milliCores() * step.spec.count()).sum();
		this.state.log.append("job-times", job.id(), "queue", job.submission.queue(), "state", outcome, "occurrence",
				occurrence, "tasks", steps.stream().mapToInt((step) -> step.spec.count()).sum(), "mcores", size, "wall",
				wall, "objective", job.objectiveMillis(), "late", wall > job.objectiveMillis(),
				job.loadedAtTakeover ? "earlier-term" : "unknown", Math.max(0, knownMillis - dueMillis), "tail",
				times.tailMillis(), "times", times.chain());
	}

}
