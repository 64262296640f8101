package io.lentilstream.tasks.scheduling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.lentilstream.clients.TaskReport;
import io.lentilstream.clients.WorkerOutcome;
import io.lentilstream.model.Epoch;
import io.lentilstream.model.JobId;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.Resources;
import io.lentilstream.model.ShardId;
import io.lentilstream.model.TeamId;
import io.lentilstream.model.VmId;
import io.lentilstream.tasks.JobRefusal;
import io.lentilstream.tasks.JobResponse;
import io.lentilstream.tasks.JobSubmission;
import io.lentilstream.tasks.TaskAction;
import io.lentilstream.tasks.TaskSettings;
import io.lentilstream.tasks.TaskState;
import io.lentilstream.tasks.TaskStep;
import io.lentilstream.tasks.TeamQuota;
import io.lentilstream.tasks.WorkerCommand;
import io.lentilstream.tasks.WorkerDescription;
import io.lentilstream.tasks.log.TaskLogEntry;

/**
 * The scheduler of one shard, which passes each input to the policies and handlers.
 * Callers must hold the lock of the shard.
 */
public final class ShardScheduler {

	private static final Duration SLOW_INTERVAL = Duration.ofSeconds(1);

	private static final long RETRY_AFTER_MILLIS = 1000;

	private final ShardState state;

	private final TaskLifecycle lifecycle;

	private final PendingQueue queue;

	private final Placements placements;

	private final WorkerEligibility eligibility;

	private final TaskStarter starter;

	private final AdmissionPolicy admission;

	private final JobLifecycle jobLifecycle;

	private final LeaseManager leaseManager;

	private final WorkerProbation probation;

	private final TaskEvictor evictor;

	private final FairShare fairShare;

	private final UrgentPreemptor urgentPreemptor;

	private final FairShareReclaimer reclaimer;

	private final WorkerDrainer drainer;

	private final ShrunkCapacityEvictor shrunkCapacityEvictor;

	private final UnplaceableJobHandler unplaceableJobs;

	private final ReportHandler reportHandler;

	private final OutcomeHandler outcomeHandler;

	private MonotonicTime slowTickDue;

	private boolean renewTick;

	/**
	 * Creates the scheduler of a shard that has no jobs and no workers.
	 * @param shard the shard
	 * @param epoch the epoch of this owner
	 * @param takeover when this owner took over
	 * @param released whether the earlier owner confirmed that it stopped
	 * @param settings the settings
	 */
	public ShardScheduler(ShardId shard, Epoch epoch, MonotonicTime takeover, boolean released, TaskSettings settings) {
		this.state = new ShardState(shard, epoch, takeover, released, settings);
		this.slowTickDue = takeover;
		this.lifecycle = new TaskLifecycle(this.state);
		this.queue = new PendingQueue(this.state);
		this.placements = new Placements(this.state, this.lifecycle, this.queue);
		this.eligibility = new WorkerEligibility(this.state, this.placements);
		this.starter = new TaskStarter(this.state, this.lifecycle, this.queue, this.placements, this.eligibility);
		this.admission = new AdmissionPolicy(this.state);
		TaskStopper stopper = new TaskStopper(this.state);
		this.jobLifecycle = new JobLifecycle(this.state, this.lifecycle, stopper);
		this.leaseManager = new LeaseManager(this.state, this.placements, this.eligibility);
		this.probation = new WorkerProbation(this.state, this.eligibility);
		CheckpointManager checkpoints = new CheckpointManager(this.state);
		this.evictor = new TaskEvictor(this.state, this.lifecycle, stopper, checkpoints);
		this.fairShare = new FairShare(this.state);
		VictimFinder victimFinder = new VictimFinder(this.state, this.fairShare);
		EvictionBudget budget = new EvictionBudget(settings.evictionsPerMinute(), takeover);
		this.urgentPreemptor = new UrgentPreemptor(this.state, this.queue, victimFinder, this.evictor);
		this.reclaimer = new FairShareReclaimer(this.state, this.queue, this.fairShare, victimFinder, this.evictor,
				budget, this.placements);
		this.drainer = new WorkerDrainer(this.state, this.evictor);
		this.shrunkCapacityEvictor = new ShrunkCapacityEvictor(this.state, victimFinder, this.evictor);
		RetryPolicy retryPolicy = new RetryPolicy(this.state, this.queue, this.placements, this.probation,
				this.jobLifecycle);
		this.unplaceableJobs = new UnplaceableJobHandler(this.state, this.queue, this.admission, retryPolicy);
		this.reportHandler = new ReportHandler(this.lifecycle, this.placements, checkpoints, this.probation,
				retryPolicy, this.jobLifecycle, new UsageTracker(this.state, this.placements));
		OverloadMitigator overloadMitigator = new OverloadMitigator(this.state, victimFinder, this.evictor, budget);
		WorkerReconciler reconciler = new WorkerReconciler(this.state, this.placements, this.reportHandler, stopper,
				checkpoints, overloadMitigator, this.probation, this.eligibility, retryPolicy);
		this.outcomeHandler = new OutcomeHandler(this.state, this.placements, this.leaseManager, this.reportHandler,
				reconciler, this.evictor, stopper, this.eligibility, retryPolicy);
	}

	/**
	 * Rebuilds the state from a snapshot and the log entries after it.
	 * @param snapshot the snapshot, if any
	 * @param entries the entries
	 * @return why the state cannot be rebuilt; empty if it was
	 */
	public Optional<String> replay(Optional<byte[]> snapshot, List<byte[]> entries) {
		LogReplay replay = new LogReplay(this.state, this.lifecycle, this.placements);
		Optional<String> problem = snapshot.flatMap((bytes) -> SnapshotCodec.read(bytes, this.state, replay));
		if (problem.isEmpty()) {
			problem = replay.applyAll(entries);
		}
		if (problem.isEmpty()) {
			for (JobRecord job : this.state.jobs.values()) {
				for (TaskGroup group : job.groups) {
					this.queue.offer(group, false);
				}
				this.jobLifecycle.recordEndIfEnded(job, this.state.takeover);
			}
		}
		return problem;
	}

	/**
	 * Replaces the list of workers. Two VMs whose ids have the same hash cannot be told
	 * apart in the log, so the second one is ignored.
	 * @param descriptions the workers
	 * @param now the current time
	 * @return the step
	 */
	public TaskStep updateWorkers(Collection<WorkerDescription> descriptions, MonotonicTime now) {
		StepBuilder step = new StepBuilder();
		Set<WorkerRecord> listed = new HashSet<>();
		for (WorkerDescription description : descriptions) {
			WorkerRecord worker = updateWorker(description, now);
			if (worker != null) {
				listed.add(worker);
			}
		}
		for (WorkerRecord worker : this.state.workers) {
			if (worker.listed && !listed.contains(worker)) {
				worker.listed = false;
				this.state.ledger.setListed(worker.ledgerIndex, false);
				this.eligibility.refresh(worker, now);
			}
		}
		Resources largest = Resources.NONE;
		for (WorkerDescription description : descriptions) {
			Resources usable = this.state.ledger.largestTaskSize(description.capacity(), false);
			largest = new Resources(Math.max(largest.milliCores(), usable.milliCores()),
					Math.max(largest.memoryMegabytes(), usable.memoryMegabytes()),
					Math.max(largest.accelerators(), usable.accelerators()));
		}
		this.state.largestVm = largest;
		for (TeamRecord team : this.state.teams.values()) {
			team.setUsed(team.used, this.state.ledger.totalCapacity());
		}
		return finish(step, now);
	}

	/**
	 * Replaces the quotas. A team without a quota has no hard limit and weight 1.
	 * @param quotas the quotas
	 * @param now the current time
	 * @return the step
	 */
	public TaskStep updateQuotas(Collection<TeamQuota> quotas, MonotonicTime now) {
		Map<TeamId, TeamQuota> byTeam = new HashMap<>();
		quotas.forEach((quota) -> byTeam.put(quota.team(), quota));
		byTeam.keySet().forEach(this.state::team);
		for (TeamRecord team : this.state.teams.values()) {
			TeamQuota quota = byTeam.get(team.id);
			team.hardLimit = (quota != null) ? quota.hardLimit() : null;
			team.weight = (quota != null) ? quota.weight() : 1;
			team.setUsed(team.used, this.state.ledger.totalCapacity());
			this.queue.readyLimitedClasses(team);
		}
		return finish(new StepBuilder(), now);
	}

	/**
	 * Accepts or refuses a job. Submitting the same job again is idempotent.
	 * @param submission the job
	 * @param now the current time
	 * @return the step
	 */
	public TaskStep submit(JobSubmission submission, MonotonicTime now) {
		StepBuilder step = new StepBuilder();
		JobRecord existing = this.state.jobs.get(new JobKey(submission.team(), submission.job()));
		JobResponse response;
		if (existing != null && !existing.submission.equals(submission)) {
			response = new JobResponse.Refused(JobRefusal.KEY_CONFLICT, 0);
		}
		else if (existing != null) {
			// The log entry of the first submission may not be durable yet.
			step.addEntry(new TaskLogEntry.Barrier());
			response = new JobResponse.Accepted(true);
		}
		else {
			Optional<JobRefusal> refusal = this.admission.refusal(submission, now);
			response = refusal.isPresent() ? refuse(refusal.get()) : accept(submission, step, now);
		}
		step.addResponse(new TaskAction.Respond(submission.team(), submission.job(), response));
		return finish(step, now);
	}

	/**
	 * Cancels jobs. The step has one response per key.
	 * @param team the team
	 * @param keys the keys of the jobs
	 * @param now the current time
	 * @return the step
	 */
	public TaskStep cancel(TeamId team, Collection<JobId> keys, MonotonicTime now) {
		StepBuilder step = new StepBuilder();
		List<Long> cancelled = new ArrayList<>();
		boolean anyKnown = false;
		for (JobId key : keys) {
			JobRecord job = this.state.jobs.get(new JobKey(team, key));
			JobResponse response;
			if (job == null) {
				response = new JobResponse.NotFound();
			}
			else if (!this.state.mayCommit(now)) {
				response = refuse(JobRefusal.STORE_UNAVAILABLE);
			}
			else {
				anyKnown = true;
				if (job.unendedTasks() > 0) {
					cancelled.add(job.sequence);
				}
				response = new JobResponse.Cancelled(this.jobLifecycle.endAll(job, TaskState.CANCELLED, step, now));
			}
			step.addResponse(new TaskAction.Respond(team, key, response));
		}
		if (!cancelled.isEmpty()) {
			step.addEntry(new TaskLogEntry.JobsCancelled(cancelled));
		}
		else if (anyKnown) {
			step.addEntry(new TaskLogEntry.Barrier());
		}
		return finish(step, now);
	}

	/**
	 * Handles the outcome of a command. The outcome is ignored if the worker is unknown.
	 * @param vm the VM of the worker
	 * @param command the command
	 * @param outcome the outcome
	 * @param now the current time
	 * @return the step
	 */
	public TaskStep handleCommandOutcome(VmId vm, WorkerCommand command, WorkerOutcome outcome, MonotonicTime now) {
		StepBuilder step = new StepBuilder();
		WorkerRecord worker = this.state.workersByVm.get(vm);
		if (worker != null) {
			this.outcomeHandler.apply(worker, command, outcome, step, now);
		}
		return finish(step, now);
	}

	/**
	 * Handles reports that are not the outcome of a command. They may be older than the
	 * outcomes of later commands, so only a report that a task finished is applied, since
	 * that stays true. Any other ended state schedules a renewal, in which the worker
	 * lists its tasks.
	 * @param vm the VM of the worker
	 * @param reports the reports
	 * @param now the current time
	 * @return the step
	 */
	public TaskStep handleReports(VmId vm, List<TaskReport> reports, MonotonicTime now) {
		StepBuilder step = new StepBuilder();
		WorkerRecord worker = this.state.workersByVm.get(vm);
		if (worker == null) {
			return finish(step, now);
		}
		for (TaskReport report : reports) {
			TaskRecord task = this.state.findTask(report.task());
			boolean mayRunHere = task != null && (task.worker == worker || task.worker == null);
			if (mayRunHere && report.state() == TaskReport.State.DONE) {
				this.reportHandler.handleFinished(task, step, now);
			}
			else if (mayRunHere && report.state() != TaskReport.State.RUNNING) {
				worker.renewDueNanos = now.nanos();
			}
		}
		return finish(step, now);
	}

	/**
	 * Sets the time from which nothing new may be committed.
	 * @param deadline the commit deadline
	 * @param now the current time
	 * @return the step
	 */
	public TaskStep setCommitDeadline(MonotonicTime deadline, MonotonicTime now) {
		this.state.commitDeadline = deadline;
		return finish(new StepBuilder(), now);
	}

	/**
	 * Performs the work that is due. Calls alternate between renewing leases, which
	 * returns no log entries, and all other work.
	 * @param now the current time
	 * @return the step
	 */
	public TaskStep tick(MonotonicTime now) {
		StepBuilder step = new StepBuilder();
		if (this.state.fenced) {
			return step.build();
		}
		this.renewTick = !this.renewTick;
		if (this.renewTick) {
			// Renewals must not wait for entries to become durable: during an outage of
			// the store, running tasks would lose their leases.
			for (int i = 0; i < this.state.workers.size(); i++) {
				this.leaseManager.renewIfDue(this.state.workers.get(i), step, now);
			}
			return step.build();
		}
		boolean slowTick = !now.isBefore(this.slowTickDue);
		if (slowTick) {
			this.slowTickDue = now.plus(SLOW_INTERVAL);
			this.queue.wakeAll();
			this.jobLifecycle.removeExpired(now);
			this.fairShare.refresh();
		}
		this.queue.requeueDelayed(now);
		this.evictor.tick(step, now);
		for (int i = 0; i < this.state.workers.size(); i++) {
			WorkerRecord worker = this.state.workers.get(i);
			this.leaseManager.releaseIfExpired(worker, now);
			if (slowTick) {
				this.probation.tick(worker, now);
				this.drainer.tick(worker, step, now);
				this.shrunkCapacityEvictor.tick(worker, step, now);
				this.eligibility.refresh(worker, now);
			}
		}
		this.reclaimer.finishReclaims();
		this.starter.apply(step, now);
		this.urgentPreemptor.tick(step, now);
		if (slowTick) {
			this.unplaceableJobs.tick(step, now);
			this.reclaimer.tick(step, now);
		}
		step.addReleases(this.placements.drainReleased());
		return step.build();
	}

	/**
	 * Tells whether a start command may be sent.
	 * @param now the current time
	 * @return whether the commit deadline has not passed
	 */
	public boolean mayStart(MonotonicTime now) {
		return this.state.mayCommit(now);
	}

	/**
	 * Tells whether this owner is fenced by a newer one.
	 * @return whether a worker has seen a higher epoch
	 */
	public boolean isFenced() {
		return this.state.fenced;
	}

	/**
	 * Returns a snapshot of the state, which includes all steps returned so far.
	 * @return the bytes
	 */
	public byte[] snapshot() {
		return SnapshotCodec.write(this.state);
	}

	/**
	 * Returns read-only views of this shard.
	 * @return the views
	 */
	public ShardViews views() {
		return new ShardViews(this.state, this.queue);
	}

	private JobResponse accept(JobSubmission submission, StepBuilder step, MonotonicTime now) {
		long sequence = this.state.nextSequence;
		step.addEntry(new TaskLogEntry.JobAccepted(sequence, submission));
		JobRecord job = this.state.addJob(sequence, submission, now.nanos());
		for (TaskGroup group : job.groups) {
			this.queue.offer(group, false);
		}
		return new JobResponse.Accepted(false);
	}

	private static JobResponse refuse(JobRefusal reason) {
		boolean retryable = reason == JobRefusal.STORE_UNAVAILABLE || reason == JobRefusal.QUEUE_FULL;
		return new JobResponse.Refused(reason, retryable ? RETRY_AFTER_MILLIS : 0);
	}

	private WorkerRecord updateWorker(WorkerDescription description, MonotonicTime now) {
		WorkerRecord worker = this.state.worker(WorkerHash.of(description.vm()));
		if (worker.vm != null && !worker.vm.equals(description.vm())) {
			// Two VMs with the same hash cannot be told apart in the log.
			return null;
		}
		if (worker.vm == null) {
			worker.vm = description.vm();
			this.state.workersByVm.put(worker.vm, worker);
		}
		int rack = this.state.rackNumbers.computeIfAbsent(description.rack().value(),
				(key) -> this.state.rackNumbers.size());
		if (rack != worker.rack) {
			for (TaskRecord task : worker.tasks) {
				task.group.job.addToRack(worker.rack, -1);
				task.group.job.addToRack(rack, 1);
			}
			worker.rack = rack;
		}
		worker.description = description;
		worker.listed = true;
		this.state.ledger.setListed(worker.ledgerIndex, true);
		this.state.ledger.setCapacity(worker.ledgerIndex, description.capacity());
		this.eligibility.refresh(worker, now);
		return worker;
	}

	private TaskStep finish(StepBuilder step, MonotonicTime now) {
		if (this.state.fenced) {
			return TaskStep.EMPTY;
		}
		this.starter.apply(step, now);
		step.addReleases(this.placements.drainReleased());
		return step.build();
	}

}
