package io.lentilstream.jobs.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

import io.lentilstream.jobs.JobCost;
import io.lentilstream.jobs.JobProgress;
import io.lentilstream.jobs.JobState;
import io.lentilstream.jobs.JobSubmission;
import io.lentilstream.jobs.QueuePolicy;
import io.lentilstream.jobs.StepSpec;
import io.lentilstream.jobs.StoredSuspicion;
import io.lentilstream.jobs.runtime.CriticalPath;
import io.lentilstream.jobs.runtime.RunTimePredictor;
import io.lentilstream.model.JobId;

/**
 * An accepted job.
 */
final class Job {

	final JobSubmission submission;

	QueuePolicy policy;

	JobState state = JobState.QUEUED;

	/** When the job ended, in milliseconds since 1970; 0 while it is active. */
	long endedAtMillis;

	/** When this scheduler received the job, in milliseconds on the monotonic clock. */
	final long knownSince;

	/**
	 * When this scheduler ended the job, in milliseconds on the monotonic clock.
	 */
	long endedAt;

	/** Whether it is logged why tasks of the ended job may go on for too long. */
	boolean missingStopLogged;

	/** Whether the job was accepted before this scheduler took over. */
	boolean loadedAtTakeover;

	/**
	 * The number of occurrences whose tasks may have been started according to stored
	 * progress. The first task of an occurrence starts only after this is stored, so a
	 * successor may start the tasks of all later occurrences at once.
	 */
	int recordedOccurrences;

	/** The number of occurrences that were requested to be recorded. */
	int requestedOccurrences;

	/** The version of the progress, incremented by each change that has to be stored. */
	long version;

	/** The latest stored version. */
	long storedVersion;

	/** The latest state that may be reported to callers. */
	JobState storedState = JobState.QUEUED;

	/** The incomplete occurrences, by number. */
	final TreeMap<Integer, List<StepState>> occurrences = new TreeMap<>();

	final List<Integer> completedOccurrences = new ArrayList<>();

	int nextOccurrence;

	/**
	 * Whether a task has passed its trial, so that not all tasks of the job crash their
	 * VM.
	 */
	boolean trialPassed;

	private final RunTimePredictor runTimes;

	private final long estimatedBytes;

	private final long payloadBytes;

	/** The critical path as predicted when the job became known, in milliseconds. */
	final long firstPredictionMillis;

	private CriticalPath criticalPath;

	Job(JobSubmission submission, long now) {
		this(submission, now, RunTimePredictor.callersEstimates());
	}

	Job(JobSubmission submission, long now, RunTimePredictor runTimes) {
		this.submission = submission;
		this.estimatedBytes = JobCost.bytes(submission);
		this.payloadBytes = (long) Character.BYTES * submission.payload().length();
		this.policy = submission.policy();
		this.knownSince = now;
		this.endedAt = now;
		this.runTimes = runTimes;
		this.criticalPath = new CriticalPath(submission.steps(), this::predictStepMillis);
		this.firstPredictionMillis = this.criticalPath.totalMillis();
	}

	private long predictStepMillis(int number) {
		return this.runTimes.predictStepMillis(this.submission.queue(), this.submission.steps().get(number));
	}

	/**
	 * Predicts the critical path again, from what has been learned meanwhile.
	 * @param steps the steps of an occurrence, of which those that are done have known
	 * lengths
	 */
	void updateCriticalPath(List<StepState> steps) {
		this.criticalPath = new CriticalPath(this.submission.steps(), (number) -> {
			StepState step = steps.get(number);
			boolean learned = this.runTimes.predict(this.submission.queue(), step.spec).samples() > 0;
			long known = (learned && step.complete()) ? step.longestRunMillis() : 0;
			return (known > 0) ? known : predictStepMillis(number);
		});
	}

	/**
	 * Returns the latest start of a step with which the job meets its objective.
	 * @param number the number of the step
	 * @param earliestStart when the job or occurrence could first start, in milliseconds
	 * @return the time in milliseconds
	 */
	long latestStart(int number, long earliestStart) {
		long remainingMillis = this.criticalPath.totalMillis() - this.criticalPath.precedingMillis(number);
		return earliestStart + objectiveMillis() - remainingMillis;
	}

	/**
	 * Returns how long the job may take to meet its objective.
	 * @return the time in milliseconds
	 */
	long objectiveMillis() {
		return (long) (this.policy.stretch() * this.criticalPath.totalMillis()) + this.policy.objectiveMillis();
	}

	JobId id() {
		return this.submission.id();
	}

	boolean active() {
		return !this.state.ended();
	}

	/**
	 * Tells whether tasks wait until an occurrence is recorded.
	 * @return {@code true} if changes of the job should be stored without delay
	 */
	boolean awaitsRecord() {
		return active() && this.requestedOccurrences > this.recordedOccurrences;
	}

	boolean hasStarted() {
		return this.state != JobState.QUEUED;
	}

	/**
	 * Tells whether predecessors may have started runs that no VM has reported yet.
	 * @return {@code false} if all runs are known
	 */
	boolean mayHaveUnreportedRuns() {
		return this.loadedAtTakeover && this.occurrences.values()
			.stream()
			.flatMap(List::stream)
			.anyMatch((step) -> step.mayHaveUnknownRuns && step.hasUncreatedTasks() || step.spec.traits().speculative()
					|| step.tasks().stream().anyMatch((task) -> task.possiblyRunning));
	}

	/**
	 * Returns the memory that the job may take at any time, without the tasks that its
	 * steps create beyond those that they may always have.
	 * @return the number of bytes
	 */
	long memoryBytes() {
		int steps = this.occurrences.size() * this.submission.steps().size();
		long current = this.payloadBytes + JobCost.currentBytes(steps, this.completedOccurrences.size());
		return active() ? Math.max(this.estimatedBytes, current) : current;
	}

	boolean hasNoRuns() {
		return this.occurrences.values().stream().flatMap(List::stream).allMatch((step) -> step.runs == 0);
	}

	List<StepState> createOccurrence(int occurrence) {
		List<StepState> steps = new ArrayList<>();
		for (int number = 0; number < this.submission.steps().size(); number++) {
			StepSpec spec = this.submission.steps().get(number);
			steps.add(new StepState(this, occurrence, number, spec));
		}
		this.occurrences.put(occurrence, steps);
		this.nextOccurrence = Math.max(this.nextOccurrence, occurrence + 1);
		return steps;
	}

	Task findTask(int occurrence, int step, int index) {
		List<StepState> steps = this.occurrences.get(occurrence);
		if (steps == null || step < 0 || step >= steps.size()) {
			return null;
		}
		return steps.get(step).task(index);
	}

	/**
	 * Returns the number of tasks that have been created and not discarded.
	 * @return the number
	 */
	int createdTasks() {
		return this.occurrences.values().stream().flatMap(List::stream).mapToInt((step) -> step.tasks().size()).sum();
	}

	JobProgress progress() {
		List<JobProgress.TaskProgress> taskProgress = new ArrayList<>();
		List<JobProgress.StepProgress> stepProgress = new ArrayList<>();
		if (active()) {
			this.occurrences.values().forEach((steps) -> steps.forEach((step) -> {
				collectProgress(step, taskProgress);
				if (step.storesDoneBits()) {
					stepProgress.add(new JobProgress.StepProgress(step.occurrence, step.number, step.doneBits()));
				}
			}));
		}
		return new JobProgress(id(), this.state, this.endedAtMillis, this.nextOccurrence,
				List.copyOf(this.completedOccurrences), taskProgress, stepProgress);
	}

	private static void collectProgress(StepState step, List<JobProgress.TaskProgress> taskProgress) {
		for (Task task : step.tasks()) {
			if (task.done && step.storesDoneBits()) {
				continue;
			}
			boolean started = step.spec.traits().longRunning() && task.lastRun > 0;
			StoredSuspicion suspicion = task.storedSuspicion();
			if (task.done || started || !task.failedRuns.isEmpty() || !task.checkpoint.isEmpty() || !suspicion.none()) {
				taskProgress
					.add(new JobProgress.TaskProgress(task.name.occurrence(), task.name.step(), task.name.index(),
							task.done, List.copyOf(task.failedRuns), task.lastRun, task.checkpoint, suspicion));
			}
		}
	}

}
