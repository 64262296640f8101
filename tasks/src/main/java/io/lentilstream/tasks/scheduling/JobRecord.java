package io.lentilstream.tasks.scheduling;

import io.lentilstream.tasks.JobSubmission;
import io.lentilstream.tasks.TaskState;

/**
 * An accepted job. Tasks without a record were never placed.
 */
final class JobRecord {

	/**
	 * The number of counters for tasks per rack. With more racks than this, several racks
	 * share a counter.
	 */
	static final int RACK_BUCKETS = 64;

	final long sequence;

	final JobSubmission submission;

	final TeamRecord team;

	final TaskGroup[] groups;

	final TaskRecord[] tasks;

	final int[] counts = new int[TaskState.values().length];

	/**
	 * The final state of the remaining tasks of a job that was cancelled or failed as a
	 * whole; {@code null} otherwise.
	 */
	TaskState endedAs;

	String problem;

	boolean endRecorded;

	long endedNanos;

	private short[] tasksPerRack;

	JobRecord(long sequence, JobSubmission submission, TeamRecord team) {
		this.sequence = sequence;
		this.submission = submission;
		this.team = team;
		this.groups = new TaskGroup[submission.tasks().size()];
		this.tasks = new TaskRecord[(int) submission.taskCount()];
		this.counts[TaskState.PENDING.ordinal()] = this.tasks.length;
	}

	TaskGroup groupOf(int index) {
		for (TaskGroup group : this.groups) {
			if (index < group.end) {
				return group;
			}
		}
		throw new IllegalStateException("task index outside of its job");
	}

	int count(TaskState state) {
		return this.counts[state.ordinal()];
	}

	int unendedTasks() {
		return this.tasks.length - count(TaskState.DONE) - count(TaskState.FAILED) - count(TaskState.CANCELLED);
	}

	TaskState stateOf(int index) {
		TaskRecord task = this.tasks[index];
		if (task != null) {
			return task.state;
		}
		return (this.endedAs != null) ? this.endedAs : TaskState.PENDING;
	}

	void addToRack(int rack, int difference) {
		if (this.tasks.length == 1) {
			return;
		}
		if (this.tasksPerRack == null) {
			this.tasksPerRack = new short[RACK_BUCKETS];
		}
		this.tasksPerRack[rack % RACK_BUCKETS] += (short) difference;
	}

	int tasksInRack(int rack) {
		return (this.tasksPerRack != null) ? this.tasksPerRack[rack % RACK_BUCKETS] : 0;
	}

}
