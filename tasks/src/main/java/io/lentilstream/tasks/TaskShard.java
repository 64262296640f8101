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
 * The state machine that schedules the jobs and tasks of one owned shard. It does no I/O
 * and reads no clock: callers pass in inputs and times, and each input returns a
 * {@link TaskStep}. The class is thread-safe, since all methods take the lock of the
 * shard. The entries of all steps must be appended to the log in the order in which the
 * steps were returned.
 */
public final class TaskShard {

	private final ReentrantLock lock = new ReentrantLock();

	private final ShardId shard;

	private final Epoch epoch;

	private final TaskSettings settings;

	private final ShardScheduler scheduler;

	private TaskShard(ShardId shard, Epoch epoch, TaskSettings settings, ShardScheduler scheduler) {
		this.shard = shard;
		this.epoch = epoch;
		this.settings = settings;
		this.scheduler = scheduler;
	}

	/**
	 * Recovers a shard during a takeover. A new shard has no snapshot and no entries.
	 * Nothing is committed before the first call of {@link #setCommitDeadline}.
	 * @param shard the shard
	 * @param epoch the epoch of this owner
	 * @param takeover the time at which the epoch marker of this owner became durable
	 * @param released whether the previous owner confirmed that it stopped
	 * @param settings the settings
	 * @param snapshot the latest snapshot, if any
	 * @param entries the log entries of all earlier epochs that follow the snapshot, in
	 * log order; may include entries that the snapshot already contains
	 * @return the shard, or the reason why it cannot be recovered
	 */
	public static RecoveryOutcome recover(ShardId shard, Epoch epoch, MonotonicTime takeover, boolean released,
			TaskSettings settings, Optional<byte[]> snapshot, List<byte[]> entries) {
		ShardScheduler scheduler = new ShardScheduler(shard, epoch, takeover, released, settings);
		Optional<String> problem = scheduler.replay(snapshot, entries);
		if (problem.isPresent()) {
			return new RecoveryOutcome.Unreadable(problem.get());
		}
		return new RecoveryOutcome.Recovered(new TaskShard(shard, epoch, settings, scheduler));
	}

	/**
	 * Replaces the list of workers of the shard. A worker that is no longer listed gets
	 * no new tasks, but the leases of its tasks are still renewed.
	 * @param workers the workers
	 * @param now the current time
	 * @return the step
	 */
	public TaskStep updateWorkers(Collection<WorkerDescription> workers, MonotonicTime now) {
		return locked(() -> this.scheduler.updateWorkers(workers, now));
	}

	/**
	 * Replaces the quotas. A team without a quota has no hard limit and a weight of 1.
	 * @param quotas the quotas of this shard
	 * @param now the current time
	 * @return the step
	 */
	public TaskStep updateQuotas(Collection<TeamQuota> quotas, MonotonicTime now) {
		return locked(() -> this.scheduler.updateQuotas(quotas, now));
	}

	/**
	 * Accepts or refuses a job. The step always contains exactly one
	 * {@link TaskAction.Respond}.
	 * @param job the job
	 * @param now the current time
	 * @return the step
	 */
	public TaskStep submit(JobSubmission job, MonotonicTime now) {
		return locked(() -> this.scheduler.submit(job, now));
	}

	/**
	 * Cancels a job. The step always contains exactly one {@link TaskAction.Respond}.
	 * @param team the team
	 * @param job the key of the job
	 * @param now the current time
	 * @return the step
	 */
	public TaskStep cancel(TeamId team, JobId job, MonotonicTime now) {
		return cancel(team, List.of(job), now);
	}

	/**
	 * Cancels several jobs with a single log entry. The step contains one
	 * {@link TaskAction.Respond} per job.
	 * @param team the team
	 * @param jobs the keys of the jobs
	 * @param now the current time
	 * @return the step
	 */
	public TaskStep cancel(TeamId team, Collection<JobId> jobs, MonotonicTime now) {
		return locked(() -> this.scheduler.cancel(team, jobs, now));
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
		return locked(() -> this.scheduler.handleCommandOutcome(vm, command, outcome, now));
	}

	/**
	 * Handles task reports that a worker sent without being asked by a command.
	 * @param vm the VM of the worker
	 * @param reports the reports
	 * @param now the current time
	 * @return the step
	 */
	public TaskStep handleReports(VmId vm, List<TaskReport> reports, MonotonicTime now) {
		return locked(() -> this.scheduler.handleReports(vm, reports, now));
	}

	/**
	 * Sets the commit deadline, the time after which nothing new is committed.
	 * @param deadline the commit deadline
	 * @param now the current time
	 * @return the step
	 */
	public TaskStep setCommitDeadline(MonotonicTime deadline, MonotonicTime now) {
		return locked(() -> this.scheduler.setCommitDeadline(deadline, now));
	}

	/**
	 * Performs periodic work, which alternates between two kinds of ticks. One renews
	 * leases, contacts unresponsive workers and gives up tasks with expired leases; it
	 * returns no entries. The other evicts, probes and starts tasks. Must be called every
	 * {@link TaskDefaults#TICK_INTERVAL}.
	 * @param now the current time
	 * @return the step
	 */
	public TaskStep tick(MonotonicTime now) {
		return locked(() -> this.scheduler.tick(now));
	}

	/**
	 * Returns whether a start command may be sent now. Must be called directly before
	 * sending, since the commit deadline may pass while the entries become durable.
	 * @param now the current time
	 * @return {@code true} before the commit deadline
	 */
	public boolean mayStart(MonotonicTime now) {
		return locked(() -> this.scheduler.mayStart(now));
	}

	/**
	 * Returns whether a worker refused a command because it has seen a higher epoch. The
	 * daemon then discards this object; all further inputs return empty steps.
	 * @return {@code true} if there is a newer owner
	 */
	public boolean isFenced() {
		return locked(this.scheduler::isFenced);
	}

	/**
	 * Returns a snapshot of the state that a new owner recovers. It includes the entries
	 * of all steps returned so far, so its head must be written after they are durable.
	 * @return the encoded snapshot, which starts with its format version
	 */
	public byte[] snapshot() {
		return locked(this.scheduler::snapshot);
	}

	/**
	 * Returns all known jobs.
	 * @return the jobs, in the order of acceptance
	 */
	public List<JobView> jobs() {
		return locked(() -> this.scheduler.views().jobs());
	}

	/**
	 * Returns a job.
	 * @param team the team
	 * @param job the key of the job
	 * @return the job, if it is known
	 */
	public Optional<JobView> job(TeamId team, JobId job) {
		return locked(() -> this.scheduler.views().job(team, job));
	}

	/**
	 * Returns the tasks of a job.
	 * @param team the team
	 * @param job the key of the job
	 * @return the tasks in the order of their indexes; empty if the job is unknown
	 */
	public List<TaskView> tasks(TeamId team, JobId job) {
		return locked(() -> this.scheduler.views().tasks(team, job));
	}

	/**
	 * Returns the counts of the shard, for metrics.
	 * @param now the current time
	 * @return the counts
	 */
	public TaskCounts counts(MonotonicTime now) {
		return locked(() -> this.scheduler.views().counts(now));
	}

	/**
	 * Returns the capacity that is committed on each VM.
	 * @return the commitments; includes VMs that are no longer listed but still have
	 * commitments on them
	 */
	public List<VmCommitment> commitments() {
		return locked(() -> this.scheduler.views().commitments());
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
