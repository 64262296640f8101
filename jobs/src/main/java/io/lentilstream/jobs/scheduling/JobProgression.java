package io.lentilstream.jobs.scheduling;

import java.util.List;
import java.util.function.LongSupplier;

import io.lentilstream.jobs.JobState;
import io.lentilstream.jobs.JobSubmission;
import io.lentilstream.jobs.StepSpec;

/**
 * Releases the steps of a job once they are due and their dependencies are done, and ends
 * the job.
 */
final class JobProgression {

	/** Allowance for clocks of callers and VMs that are ahead, in milliseconds. */
	private static final long CLOCK_MARGIN_MILLIS = 20;

	/**
	 * The multiple of its objective up to which a late job is still of use.
	 */
	private static final int LATE_FACTOR = 3;

	/**
	 * The largest number of tasks in the incomplete occurrences of a job. Further
	 * occurrences wait until earlier ones complete.
	 */
	private static final int MAX_TASKS = 10_000;

	private final SchedulerState state;

	private final RunStopper runStopper;

	private final LongSupplier timeOfDay;

	private final JobTimesLogger timesLogger;

	JobProgression(SchedulerState state, RunStopper runStopper, LongSupplier timeOfDay) {
		this.state = state;
		this.runStopper = runStopper;
		this.timeOfDay = timeOfDay;
		this.timesLogger = new JobTimesLogger(state, timeOfDay);
	}

	/**
	 * Creates the occurrences of a job that are due and releases their first steps.
	 * @param job the job
	 * @param now the current time in milliseconds
	 */
	void startDueOccurrences(Job job, long now) {
		JobSubmission.Schedule schedule = job.submission.schedule();
		while (job.active() && job.nextOccurrence < schedule.occurrences()) {
			long dueAt = schedule.dueMillis(job.nextOccurrence);
			if (dueAt > 0 && this.timeOfDay.getAsLong() < dueAt + CLOCK_MARGIN_MILLIS) {
				return;
			}
			int occurrence = job.nextOccurrence;
			if (job.completedOccurrences.contains(occurrence)) {
				job.nextOccurrence++;
				continue;
			}
			if (!job.occurrences.containsKey(occurrence)) {
				if (tooManyTasks(job)) {
					return;
				}
				job.createOccurrence(occurrence);
			}
			job.nextOccurrence = occurrence + 1;
			releaseReadySteps(job, occurrence, now);
		}
	}

	private static boolean tooManyTasks(Job job) {
		long tasks = job.submission.steps().stream().mapToLong(StepSpec::count).sum();
		return !job.occurrences.isEmpty() && (job.occurrences.size() + 1) * tasks > MAX_TASKS;
	}

	/**
	 * Releases the steps of an occurrence whose dependencies are done.
	 * @param job the job
	 * @param occurrence the number of the occurrence
	 * @param now the current time in milliseconds
	 */
	void releaseReadySteps(Job job, int occurrence, long now) {
		List<StepState> steps = job.occurrences.get(occurrence);
		for (StepState step : steps) {
			if (step.released
					|| !step.spec.dependsOn().stream().allMatch((dependency) -> steps.get(dependency).complete())) {
				continue;
			}
			step.released = true;
			job.updateCriticalPath(steps);
			if (step.spec.traits().longRunning()) {
				this.state.firstStartDebouncer.stepReleased(now);
			}
			step.releasedAt = now;
			step.dueAt = job.latestStart(step.number, (occurrence == 0) ? job.knownSince : now);
			step.lateDueAt = step.dueAt + (LATE_FACTOR - 1) * job.objectiveMillis();
			for (Task task : step.tasks()) {
				task.dueAt = step.dueAt;
				task.lateDueAt = step.lateDueAt;
				TaskTimerEvents.released(task, now);
				if (task.startable()) {
					this.state.addWaiting(task);
				}
			}
			this.state.taskFeeder.stepReleased(step);
		}
	}

	void handleStepCompleted(Job job, int occurrence, long now) {
		List<StepState> steps = job.occurrences.get(occurrence);
		if (!steps.stream().allMatch(StepState::complete)) {
			releaseReadySteps(job, occurrence, now);
			return;
		}
		this.state.runTimes.recordOccurrenceCompleted(job, steps);
		job.occurrences.remove(occurrence);
		this.timesLogger.log(job, steps, JobState.COMPLETED, now);
		job.completedOccurrences.add(occurrence);
		if (job.completedOccurrences.size() >= job.submission.schedule().occurrences()) {
			endJob(job, JobState.COMPLETED, "all tasks are done", now);
		}
	}

	/**
	 * Ends a job and stops its remaining runs, unless the job has already ended.
	 * @param job the job
	 * @param finalState the final state
	 * @param reason the reason to be logged
	 * @param now the current time in milliseconds
	 */
	void endJob(Job job, JobState finalState, String reason, long now) {
		if (!job.active()) {
			return;
		}
		job.state = finalState;
		job.endedAtMillis = this.timeOfDay.getAsLong();
		job.endedAt = now;
		this.state.markChanged(job);
		this.state.urgentChange = true;
		this.state.log.append("job-ended", job.id(), "state", finalState, "reason", reason, "age-ms",
				now - job.knownSince);
		for (List<StepState> steps : job.occurrences.values()) {
			this.timesLogger.log(job, steps, finalState, now);
			for (StepState step : steps) {
				for (Task task : step.tasks()) {
					this.state.waiting.remove(task);
					this.state.suspects.remove(task);
					List.copyOf(task.runs).forEach((run) -> this.runStopper.requestStop(run, "job " + finalState, now));
				}
			}
		}
	}

}
