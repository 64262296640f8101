package io.lentilstream.tasks.scheduling;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.lentilstream.model.JobId;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.Resources;
import io.lentilstream.model.TeamId;
import io.lentilstream.model.VmId;
import io.lentilstream.tasks.JobView;
import io.lentilstream.tasks.TaskCounts;
import io.lentilstream.tasks.TaskState;
import io.lentilstream.tasks.TaskView;
import io.lentilstream.tasks.VmCommitment;

/**
 * Read-only views of the state of a shard for the administration API. Callers must hold
 * the lock of the shard.
 */
public final class ShardViews {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final ShardState state;

	private final PendingQueue queue;

	ShardViews(ShardState state, PendingQueue queue) {
		this.state = state;
		this.queue = queue;
	}

	/**
	 * Returns all known jobs.
	 * @return the jobs in the order of acceptance
	 */
	public List<JobView> jobs() {
		return this.state.jobs.values().stream().map(this::view).toList();
	}

	/**
	 * Returns a job.
	 * @param team the team
	 * @param job the key of the job
	 * @return the job, if it is known
	 */
	public Optional<JobView> job(TeamId team, JobId job) {
		return Optional.ofNullable(this.state.jobs.get(new JobKey(team, job))).map(this::view);
	}

	/**
	 * Returns the tasks of a job.
	 * @param team the team
	 * @param key the key of the job
	 * @return the tasks in the order of their indexes; empty if the job is not known
	 */
	public List<TaskView> tasks(TeamId team, JobId key) {
		JobRecord job = this.state.jobs.get(new JobKey(team, key));
		if (job == null) {
			return List.of();
		}
		List<TaskView> views = new ArrayList<>(job.tasks.length);
		for (int i = 0; i < job.tasks.length; i++) {
			TaskRecord task = job.tasks[i];
			Optional<VmId> vm = (task != null && task.worker != null) ? Optional.ofNullable(task.worker.vm)
					: Optional.empty();
			views.add(new TaskView(this.state.taskIds.of(job.sequence, i), i, job.stateOf(i), vm,
					(task != null) ? task.committed : Resources.NONE,
					(task != null) ? Optional.ofNullable(task.checkpoint) : Optional.empty(),
					(task != null) ? task.evictions : 0));
		}
		return views;
	}

	/**
	 * Returns the counts of the shard.
	 * @param now the current time
	 * @return the counts
	 */
	public TaskCounts counts(MonotonicTime now) {
		int listed = 0;
		int unresponsive = 0;
		int onProbation = 0;
		int held = 0;
		for (WorkerRecord worker : this.state.workers) {
			listed += worker.listed ? 1 : 0;
			unresponsive += (worker.listed && worker.unansweredCommands >= LeaseManager.UNANSWERED_BEFORE_PING) ? 1 : 0;
			onProbation += (worker.probation != WorkerRecord.ProbationState.NONE) ? 1 : 0;
			held += worker.reconciled ? 0 : worker.tasks.size();
		}
		return new TaskCounts(nonZero(this.state.counts), this.state.jobs.size(), listed, unresponsive, onProbation,
				held, this.state.totals.starts, this.state.totals.evictions, this.state.totals.throttles,
				this.state.totals.expiredLeases, oldestUrgentWait(now));
	}

	/**
	 * Returns the commitments on each VM.
	 * @return the commitments of listed VMs and of those that hold tasks
	 */
	public List<VmCommitment> commitments() {
		List<VmCommitment> views = new ArrayList<>();
		for (WorkerRecord worker : this.state.workers) {
			if (worker.vm != null && (worker.listed || !worker.tasks.isEmpty())) {
				views.add(new VmCommitment(worker.vm, this.state.ledger.capacity(worker.ledgerIndex),
						this.state.ledger.committed(worker.ledgerIndex), worker.tasks.size()));
			}
		}
		return views;
	}

	private JobView view(JobRecord job) {
		return new JobView(job.submission.team(), job.submission.job(), job.submission.urgency(), nonZero(job.counts),
				job.unendedTasks() == 0, Optional.ofNullable(problem(job)));
	}

	private static String problem(JobRecord job) {
		if (job.problem != null || job.unendedTasks() == 0) {
			return job.problem;
		}
		for (TaskGroup group : job.groups) {
			if (group.delayed) {
				return TaskMessages.WAITS_AFTER_FAILURE;
			}
			if (group.hasWaiting() && group.taskClass.status == TaskClass.Status.BLOCKED) {
				return TaskMessages.WAITS_FOR_ROOM;
			}
			if (group.hasWaiting() && group.taskClass.status == TaskClass.Status.LIMITED) {
				return TaskMessages.WAITS_FOR_QUOTA;
			}
		}
		return null;
	}

	private long oldestUrgentWait(MonotonicTime now) {
		long oldest = 0;
		for (TaskClass taskClass : this.queue.blockedClasses()) {
			if (taskClass.isUrgent() && taskClass.head() != null) {
				oldest = Math.max(oldest, now.nanos() - taskClass.head().waitingSinceNanos);
			}
		}
		return oldest / NANOS_PER_MILLI;
	}

	private static Map<TaskState, Integer> nonZero(int[] counts) {
		Map<TaskState, Integer> map = new EnumMap<>(TaskState.class);
		for (TaskState state : TaskState.values()) {
			if (counts[state.ordinal()] > 0) {
				map.put(state, counts[state.ordinal()]);
			}
		}
		return map;
	}

}
