package io.lentilstream.jobs.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

import io.lentilstream.jobs.JobProgress;
import io.lentilstream.jobs.JobState;
import io.lentilstream.jobs.JobSubmission;
import io.lentilstream.jobs.QueuePolicy;
import io.lentilstream.jobs.StepSpec;
import io.lentilstream.model.JobId;

/**
 * An accepted job.
 */
final class Job {

	/** Assumed run time of a task without an estimate, in milliseconds. */
	private static final long DEFAULT_ESTIMATE_MILLIS = 1000;

	final JobSubmission submission;

	QueuePolicy policy;

	JobState state = JobState.QUEUED;

	/** Time of day of the end, in milliseconds since 1970; 0 before it. */
	long endedAtMillis;

	/** When this scheduler learnt of the job, in milliseconds. */
	final long learntAt;

	/** Grows with each change that has to be stored. */
	long version;

	/** The latest version that is stored. */
	long storedVersion;

	/** The state that callers may be told. */
	JobState storedState = JobState.QUEUED;

	/** The occurrences that are not complete, by number. */
	final TreeMap<Integer, List<StepState>> occurrences = new TreeMap<>();

	final List<Integer> completedOccurrences = new ArrayList<>();

	int nextOccurrence;

	/** Length of the longest chain that ends with each step, in milliseconds. */
	private final long[] chainMillis;

	private long longestChainMillis;

	Job(JobSubmission submission, long now) {
		this.submission = submission;
		this.policy = submission.policy();
		this.learntAt = now;
		this.chainMillis = new long[submission.steps().size()];
		for (int number = 0; number < this.chainMillis.length; number++) {
			StepSpec step = submission.steps().get(number);
			long before = 0;
			for (int earlier : step.dependsOn()) {
				before = Math.max(before, this.chainMillis[earlier]);
			}
			this.chainMillis[number] = before + estimate(step);
			this.longestChainMillis = Math.max(this.longestChainMillis, this.chainMillis[number]);
		}
	}

	/**
	 * Returns when a step should start for the job to meet its objective.
	 * @param number the number of the step
	 * @param begun when the job or occurrence could first start, in milliseconds
	 * @return the time in milliseconds
	 */
	long latestStart(int number, long begun) {
		long before = this.chainMillis[number] - estimate(this.submission.steps().get(number));
		return begun + objectiveMillis() - (this.longestChainMillis - before);
	}

	/**
	 * Returns how long the job may take by its objective.
	 * @return milliseconds
	 */
	long objectiveMillis() {
		return (long) (this.policy.stretch() * this.longestChainMillis) + this.policy.objectiveMillis();
	}

	private static long estimate(StepSpec step) {
		return (step.estimateMillis() > 0) ? step.estimateMillis() : DEFAULT_ESTIMATE_MILLIS;
	}

	JobId id() {
		return this.submission.id();
	}

	boolean active() {
		return !this.state.ended();
	}

	boolean begun() {
		return this.state != JobState.QUEUED;
	}

	List<StepState> openOccurrence(int occurrence) {
		List<StepState> steps = new ArrayList<>();
		for (int number = 0; number < this.submission.steps().size(); number++) {
			StepSpec spec = this.submission.steps().get(number);
			steps.add(new StepState(this, occurrence, number, spec));
		}
		this.occurrences.put(occurrence, steps);
		this.nextOccurrence = Math.max(this.nextOccurrence, occurrence + 1);
		return steps;
	}

	Task find(int occurrence, int step, int index) {
		List<StepState> steps = this.occurrences.get(occurrence);
		if (steps == null || step < 0 || step >= steps.size()) {
			return null;
		}
		List<Task> tasks = steps.get(step).tasks;
		return (index >= 0 && index < tasks.size()) ? tasks.get(index) : null;
	}

	JobProgress progress() {
		List<JobProgress.TaskProgress> known = new ArrayList<>();
		if (active()) {
			this.occurrences.values().forEach((steps) -> steps.forEach((step) -> collect(step, known)));
		}
		return new JobProgress(id(), this.state, this.endedAtMillis, List.copyOf(this.completedOccurrences), known);
	}

	private static void collect(StepState step, List<JobProgress.TaskProgress> known) {
		for (Task task : step.tasks) {
			boolean started = step.spec.traits().longRunning() && task.lastRun > 0;
			if (task.done || started || !task.failedRuns.isEmpty() || !task.checkpoint.isEmpty()) {
				known.add(new JobProgress.TaskProgress(task.name.occurrence(), task.name.step(), task.name.index(),
						task.done, List.copyOf(task.failedRuns), task.lastRun, task.checkpoint));
			}
		}
	}

}
