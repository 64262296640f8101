package io.lentilstream.tasks.scheduling;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.lentilstream.model.Epoch;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.Resources;
import io.lentilstream.model.ShardId;
import io.lentilstream.model.TaskId;
import io.lentilstream.model.TeamId;
import io.lentilstream.model.VmId;
import io.lentilstream.tasks.JobSubmission;
import io.lentilstream.tasks.TaskDeclaration;
import io.lentilstream.tasks.TaskSettings;
import io.lentilstream.tasks.TaskState;
import io.lentilstream.tasks.capacity.CommitmentLedger;
import io.lentilstream.tasks.usage.InterferenceEstimator;

/**
 * The state of a shard, shared by all policies and handlers.
 */
final class ShardState {

	// 340 teams with about 10 programs each make 3,400 task classes. Most pairs of them
	// never run on the same VM.
	private static final int MAX_INTERFERENCE_PAIRS = 20_000;

	final Epoch epoch;

	final MonotonicTime takeover;

	final TaskSettings settings;

	final TaskIdCodec taskIds;

	final CommitmentLedger ledger;

	final InterferenceEstimator interference;

	final Map<JobKey, JobRecord> jobs = new LinkedHashMap<>();

	final Map<Long, JobRecord> jobsBySequence = new HashMap<>();

	final Map<TeamId, TeamRecord> teams = new HashMap<>();

	final List<WorkerRecord> workers = new ArrayList<>();

	final Map<Long, WorkerRecord> workersByHash = new HashMap<>();

	final Map<VmId, WorkerRecord> workersByVm = new HashMap<>();

	final Map<String, Integer> rackNumbers = new HashMap<>();

	final ArrayDeque<TaskRecord> awaitingCheckpoint = new ArrayDeque<>();

	final ArrayDeque<JobRecord> endedJobs = new ArrayDeque<>();

	final int[] counts = new int[TaskState.values().length];

	final Totals totals = new Totals();

	/** The largest usable size of a listed VM, separately for each resource. */
	Resources largestVm = Resources.NONE;

	/**
	 * The time from which nothing may be committed; {@code null} until the daemon has
	 * renewed its lease.
	 */
	MonotonicTime commitDeadline;

	boolean fenced;

	long nextSequence = 1;

	/** The time after which no lease granted by an earlier owner can be valid. */
	final long earlierLeasesEndNanos;

	private long lastCommand;

	private int nextClass;

	ShardState(ShardId shard, Epoch epoch, MonotonicTime takeover, boolean released, TaskSettings settings) {
		this.epoch = epoch;
		this.takeover = takeover;
		this.settings = settings;
		this.taskIds = new TaskIdCodec(shard);
		this.ledger = new CommitmentLedger(settings.reservedShare());
		this.interference = new InterferenceEstimator(settings.interferenceHalfLife(), MAX_INTERFERENCE_PAIRS);
		MonotonicTime leasesEnd = takeover.plus(settings.taskLease()).plus(settings.clockMargin());
		this.earlierLeasesEndNanos = (released ? leasesEnd : leasesEnd.plus(settings.outageGrace())).nanos();
	}

	long nextCommand() {
		return ++this.lastCommand;
	}

	long lastCommand() {
		return this.lastCommand;
	}

	boolean mayCommit(MonotonicTime now) {
		return !this.fenced && this.commitDeadline != null && now.isBefore(this.commitDeadline);
	}

	/**
	 * Tells whether existing leases may be renewed. Renewals continue for the outage
	 * grace after the commit deadline, so that tasks survive a short outage of the store.
	 * @param now the current time
	 * @return whether existing leases may be renewed
	 */
	boolean mayRenew(MonotonicTime now) {
		MonotonicTime from = (this.commitDeadline != null) ? this.commitDeadline : this.takeover;
		return !this.fenced && now.isBefore(from.plus(this.settings.outageGrace()));
	}

	TeamRecord team(TeamId id) {
		return this.teams.computeIfAbsent(id, TeamRecord::new);
	}

	WorkerRecord worker(long hash) {
		return this.workersByHash.computeIfAbsent(hash, (key) -> {
			WorkerRecord worker = new WorkerRecord(hash, this.ledger.add());
			worker.earlierLeasesEndNanos = this.earlierLeasesEndNanos;
			worker.latestLeaseEndNanos = this.takeover.nanos();
			worker.renewDueNanos = this.takeover.nanos();
			worker.startBackoffUntilNanos = this.takeover.nanos();
			this.workers.add(worker);
			return worker;
		});
	}

	JobRecord addJob(long sequence, JobSubmission submission, long nowNanos) {
		TeamRecord team = team(submission.team());
		JobRecord job = new JobRecord(sequence, submission, team);
		int first = 0;
		for (int i = 0; i < job.groups.length; i++) {
			TaskDeclaration declaration = submission.tasks().get(i);
			TaskClass.Key key = new TaskClass.Key(declaration.program(), declaration.declared(), submission.urgency());
			TaskClass taskClass = team.classes.computeIfAbsent(key, (k) -> new TaskClass(this.nextClass++, team, k));
			job.groups[i] = new TaskGroup(job, taskClass, first, first + declaration.count());
			job.groups[i].waitingSinceNanos = nowNanos;
			first += declaration.count();
		}
		JobRecord previous = this.jobs.put(new JobKey(submission.team(), submission.job()), job);
		if (previous != null) {
			// The key was reused after the retention time of the ended job.
			removeJob(previous);
		}
		this.jobsBySequence.put(sequence, job);
		this.counts[TaskState.PENDING.ordinal()] += job.tasks.length;
		this.nextSequence = Math.max(this.nextSequence, sequence + 1);
		return job;
	}

	void removeJob(JobRecord job) {
		this.jobs.remove(new JobKey(job.submission.team(), job.submission.job()), job);
		this.jobsBySequence.remove(job.sequence);
		for (int i = 0; i < this.counts.length; i++) {
			this.counts[i] -= job.counts[i];
		}
		for (TaskGroup group : job.groups) {
			TaskClass taskClass = group.taskClass;
			if (taskClass.status == TaskClass.Status.IDLE && taskClass.placedTasks == 0 && taskClass.queue.isEmpty()) {
				// Task classes of short-lived program names would otherwise accumulate.
				taskClass.team.classes.remove(taskClass.key, taskClass);
			}
		}
	}

	int unfinishedTasks() {
		int sum = 0;
		for (TaskState state : TaskState.values()) {
			sum += state.isEnded() ? 0 : this.counts[state.ordinal()];
		}
		return sum;
	}

	TaskId taskId(TaskRecord task) {
		return this.taskIds.of(task.group.job.sequence, task.index);
	}

	/**
	 * Returns the record of a task that was placed and is not compacted.
	 * @param id the id of the task
	 * @return the task, or {@code null}
	 */
	TaskRecord findTask(TaskId id) {
		TaskIdCodec.Parts parts = this.taskIds.parse(id).orElse(null);
		JobRecord job = (parts != null) ? this.jobsBySequence.get(parts.sequence()) : null;
		if (job == null || parts.index() < 0 || parts.index() >= job.tasks.length) {
			return null;
		}
		TaskRecord task = job.tasks[parts.index()];
		return (task != null && task.group != null) ? task : null;
	}

	/**
	 * Counters of scheduling decisions since the recovery of this shard.
	 */
	static final class Totals {

		long starts;

		long evictions;

		long throttles;

		long expiredLeases;

	}

}
