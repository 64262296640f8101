package io.lentilstream.jobs.scheduling;

import java.util.List;
import java.util.function.LongSupplier;

import io.lentilstream.jobs.JobState;
import io.lentilstream.jobs.JobSubmission;

/**
 * Opens the steps of a job when their time has come and the earlier steps are done, and
 * ends the job.
 */
final class JobProgression {

	/** How far the clock of a caller or VM may be ahead, in milliseconds. */
	private static final long CLOCK_MARGIN_MILLIS = 20;

	/** How many times its objective a job may take and still be of some use. */
	private static final int LATE_FACTOR = 3;

	private final SchedulerState state;

	private final RunStopper stops;

	private final LongSupplier timeOfDay;

	JobProgression(SchedulerState state, RunStopper stops, LongSupplier timeOfDay) {
		this.state = state;
		this.stops = stops;
		this.timeOfDay = timeOfDay;
	}

	/**
	 * Opens the occurrences of a job that are due, with their first steps.
	 * @param job the job
	 * @param now the current time in milliseconds
	 */
	void openDue(Job job, long now) {
		JobSubmission.Schedule schedule = job.submission.schedule();
		while (job.active() && job.nextOccurrence < schedule.occurrences()) {
			long due = schedule.dueMillis(job.nextOccurrence);
			if (due > 0 && this.timeOfDay.getAsLong() < due + CLOCK_MARGIN_MILLIS) {
				return;
			}
			int occurrence = job.nextOccurrence;
			if (job.completedOccurrences.contains(occurrence)) {
				job.nextOccurrence++;
				continue;
			}
			if (!job.occurrences.containsKey(occurrence)) {
				job.openOccurrence(occurrence);
			}
			job.nextOccurrence = occurrence + 1;
			openSteps(job, occurrence, now);
		}
	}

	/**
	 * Opens the steps of an occurrence whose earlier steps are done.
	 * @param job the job
	 * @param occurrence the number of the occurrence
	 * @param now the current time in milliseconds
	 */
	void openSteps(Job job, int occurrence, long now) {
		List<StepState> steps = job.occurrences.get(occurrence);
		for (StepState step : steps) {
			if (step.open || !step.spec.dependsOn().stream().allMatch((earlier) -> steps.get(earlier).complete())) {
				continue;
			}
			step.open = true;
			if (step.spec.traits().longRunning()) {
				this.state.gathering.opened(now);
			}
			for (Task task : step.tasks) {
				task.dueAt = job.latestStart(step.number, (occurrence == 0) ? job.learntAt : now);
				task.lateDueAt = task.dueAt + (LATE_FACTOR - 1) * job.objectiveMillis();
				if (task.waiting()) {
					this.state.await(task);
				}
			}
		}
	}

	void stepDone(Job job, int occurrence, long now) {
		List<StepState> steps = job.occurrences.get(occurrence);
		if (!steps.stream().allMatch(StepState::complete)) {
			openSteps(job, occurrence, now);
			return;
		}
		job.occurrences.remove(occurrence);
		job.completedOccurrences.add(occurrence);
		if (job.completedOccurrences.size() >= job.submission.schedule().occurrences()) {
			end(job, JobState.COMPLETED, "all tasks are done", now);
		}
	}

	/**
	 * Ends a job and stops what is left of it.
	 * @param job the job
	 * @param end the final state
	 * @param reason why, for the log
	 * @param now the current time in milliseconds
	 */
	void end(Job job, JobState end, String reason, long now) {
		if (!job.active()) {
			return;
		}
		job.state = end;
		job.endedAtMillis = this.timeOfDay.getAsLong();
		this.state.changed(job);
		this.state.urgentChange = true;
		this.state.log.append("job-ended", job.id(), "state", end, "reason", reason, "age-ms", now - job.learntAt);
		for (List<StepState> steps : job.occurrences.values()) {
			for (StepState step : steps) {
				for (Task task : step.tasks) {
					this.state.waiting.remove(task);
					List.copyOf(task.runs).forEach((run) -> this.stops.want(run, "job " + end, now));
				}
			}
		}
	}

}
