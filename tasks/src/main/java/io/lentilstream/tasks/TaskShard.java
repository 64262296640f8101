package io.lentilstream.tasks;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Supplier;

import io.lentilstream.clients.TaskReport;
import io.lentilstream.clients.WorkerOutcome;
import io.lentilstream.model.Epoch;
import io.lentilstream.model.JobId;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.ShardId;
import io.lentilstream.model.TeamId;
import io.lentilstream.model.VmId;
import io.lentilstream.tasks.scheduling.ShardScheduler;

/**
 * Decides everything about the jobs and tasks of one owned shard. It does no I/O and
 * reads no clock: inputs and times are passed in, and each input returns a
 * {@link TaskStep}. All methods take the lock of the shard, so any thread may call them;
 * the entries of all steps must be appended to the log in the order in which the steps
 * were returned.
 */
public final class TaskShard {

	private final ReentrantLock lock = new ReentrantLock();

	private final ShardId shard;

	private final Epoch epoch;

	private final TaskSettings settings;

	private final ShardScheduler decider;

	private TaskShard(ShardId shard, Epoch epoch, TaskSettings settings, ShardScheduler decider) {
		this.shard = shard;
		this.epoch = epoch;
		this.settings = settings;
		this.decider = decider;
	}

	/**
	 * Rebuilds a shard at a takeover. A fresh shard has no snapshot and no entries.
	 * Nothing is committed before the first {@link #setCommitDeadline}.
	 * @param shard the shard
	 * @param epoch the epoch of this owner
	 * @param takeover when the epoch marker of this owner became durable
	 * @param released whether the earlier owner confirmed that it stopped
	 * @param settings the settings
	 * @param snapshot the newest snapshot, if any
	 * @param entries the entries of all earlier epochs that follow the snapshot, in order
	 * of the log; entries that the snapshot contains already may be among them
	 * @return the shard, or why it cannot be rebuilt
	 */
	public static RecoveryOutcome recover(ShardId shard, Epoch epoch, MonotonicTime takeover, boolean released,
			TaskSettings settings, Optional<byte[]> snapshot, List<byte[]> entries) {
		ShardScheduler decider = new ShardScheduler(shard, epoch, takeover, released, settings);
		Optional<String> problem = decider.replay(snapshot, entries);
		if (problem.isPresent()) {
			return new RecoveryOutcome.Unreadable(problem.get());
		}
		return new RecoveryOutcome.Recovered(new TaskShard(shard, epoch, settings, decider));
	}

	/**
	 * Replaces the list of workers of the shard. A worker that is missing from the list
	 * gets no new work, but its tasks are still renewed.
	 * @param workers the workers
	 * @param now the current time
	 * @return the step
	 */
	public TaskStep updateWorkers(Collection<WorkerDescription> workers, MonotonicTime now) {
		return locked(() -> this.decider.updateWorkers(workers, now));
	}

	/**
	 * Replaces the quotas. A team without a quota has no hard limit and weight 1.
	 * @param quotas the quotas of this shard
	 * @param now the current time
	 * @return the step
	 */
	public TaskStep updateQuotas(Collection<TeamQuota> quotas, MonotonicTime now) {
		return locked(() -> this.decider.updateQuotas(quotas, now));
	}

	/**
	 * Accepts or refuses a job. The step always contains one {@link TaskAction.Respond}.
	 * @param job the job
	 * @param now the current time
	 * @return the step
	 */
	public TaskStep submit(JobSubmission job, MonotonicTime now) {
		return locked(() -> this.decider.submit(job, now));
	}

	/**
	 * Cancels a job. The step always contains one {@link TaskAction.Respond}.
	 * @param team the team
	 * @param job the key of the job
	 * @param now the current time
	 * @return the step
	 */
	public TaskStep cancel(TeamId team, JobId job, MonotonicTime now) {
		return cancel(team, List.of(job), now);
	}

	/**
	 * Cancels several jobs with one log entry. The step contains one
	 * {@link TaskAction.Respond} per job.
	 * @param team the team
	 * @param jobs the keys of the jobs
	 * @param now the current time
	 * @return the step
	 */
	public TaskStep cancel(TeamId team, Collection<JobId> jobs, MonotonicTime now) {
		return locked(() -> this.decider.cancel(team, jobs, now));
	}

	/**
	 * Handles the outcome of a command to a worker.
	 * @param vm the VM of the worker
	 * @param command the command
	 * @param outcome the outcome
	 * @param now the current time
	 * @return the step
	 */
	public TaskStep handleCommandOutcome(VmId vm, WorkerCommand command, WorkerOutcome outcome, MonotonicTime now) {
		return locked(() -> this.decider.handleCommandOutcome(vm, command, outcome, now));
	}

	/**
	 * Handles reports that arrived other than as the outcome of a command.
	 * @param vm the VM of the worker
	 * @param reports the reports
	 * @param now the current time
	 * @return the step
	 */
	public TaskStep handleReports(VmId vm, List<TaskReport> reports, MonotonicTime now) {
		return locked(() -> this.decider.handleReports(vm, reports, now));
	}

	/**
	 * Sets the time after which nothing new is committed.
	 * @param deadline the commit deadline
	 * @param now the current time
	 * @return the step
	 */
	public TaskStep setCommitDeadline(MonotonicTime deadline, MonotonicTime now) {
		return locked(() -> this.decider.setCommitDeadline(deadline, now));
	}

	/**
	 * Does what is due, in turns: one tick renews leases, pings silent workers and gives
	 * up lapsed tasks, and returns no entries; the next one evicts, probes and starts. To
	 * be called every {@link TaskDefaults#TICK_INTERVAL}.
	 * @param now the current time
	 * @return the step
	 */
	public TaskStep tick(MonotonicTime now) {
		return locked(() -> this.decider.tick(now));
	}

	/**
	 * Tells whether a start command may be sent now. To be asked directly before sending,
	 * since the commit deadline may pass while the entries become durable.
	 * @param now the current time
	 * @return {@code true} before the commit deadline
	 */
	public boolean mayStart(MonotonicTime now) {
		return locked(() -> this.decider.mayStart(now));
	}

	/**
	 * Tells whether a worker refused a command because it has seen a higher epoch. The
	 * daemon then drops this object; all inputs return empty steps.
	 * @return {@code true} if there is a newer owner
	 */
	public boolean isFenced() {
		return locked(this.decider::isFenced);
	}

	/**
	 * Returns the state that is to be durable. The snapshot contains the entries of all
	 * steps returned so far, so its head must be written after these.
	 * @return the bytes, which start with their format version
	 */
	public byte[] snapshot() {
		return locked(this.decider::snapshot);
	}

	/**
	 * Returns all known jobs.
	 * @return the jobs, in the order of acceptance
	 */
	public List<JobView> jobs() {
		return locked(() -> this.decider.views().jobs());
	}

	/**
	 * Returns a job.
	 * @param team the team
	 * @param job the key of the job
	 * @return the job, if it is known
	 */
	public Optional<JobView> job(TeamId team, JobId job) {
		return locked(() -> this.decider.views().job(team, job));
	}

	/**
	 * Returns the tasks of a job.
	 * @param team the team
	 * @param job the key of the job
	 * @return the tasks in the order of their indexes; empty if the job is not known
	 */
	public List<TaskView> tasks(TeamId team, JobId job) {
		return locked(() -> this.decider.views().tasks(team, job));
	}

	/**
	 * Returns the counts of the shard, for metrics.
	 * @param now the current time
	 * @return the counts
	 */
	public TaskCounts counts(MonotonicTime now) {
		return locked(() -> this.decider.views().counts(now));
	}

	/**
	 * Returns what is committed on each VM.
	 * @return the commitments; VMs that are no longer listed are included while they hold
	 * some
	 */
	public List<VmCommitment> commitments() {
		return locked(() -> this.decider.views().commitments());
	}

	/**
	 * Returns the shard.
	 * @return the shard
	 */
	public ShardId shard() {
		return this.shard;
	}

	/**
	 * Returns the epoch of this owner.
	 * @return the epoch
	 */
	public Epoch epoch() {
		return this.epoch;
	}

	/**
	 * Returns the settings.
	 * @return the settings
	 */
	public TaskSettings settings() {
		return this.settings;
	}

	private <T> T locked(Supplier<T> body) {
		this.lock.lock();
		try {
			return body.get();
		}
		finally {
			this.lock.unlock();
		}
	}

}
