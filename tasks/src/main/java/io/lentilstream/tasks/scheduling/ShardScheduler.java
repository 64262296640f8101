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
import io.lentilstream.tasks.JobAnswer;
import io.lentilstream.tasks.JobRefusal;
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
 * Passes the inputs of a shard to the rules. Callers hold the lock of the shard.
 */
public final class ShardScheduler {

	private static final Duration SLOW_INTERVAL = Duration.ofSeconds(1);

	private static final long RETRY_AFTER_MILLIS = 1000;

	private final ShardState state;

	private final Lifecycle lifecycle;

	private final PendingQueue queue;

	private final Placements placements;

	private final WorkerOpeningRule opening;

	private final StartRule starts;

	private final AdmissionRule admission;

	private final JobEndRule jobEnds;

	private final LeaseRule leases;

	private final ProbationRule probation;

	private final EvictionRule evictions;

	private final FairShareRule fairShare;

	private final UrgentRoomRule urgentRoom;

	private final ReclaimRule reclaim;

	private final LeavingRule leaving;

	private final ShrunkCapacityRule shrunkCapacity;

	private final UnplaceableRule unplaceable;

	private final ReportRule reports;

	private final AnswerRule answers;

	private MonotonicTime slowTickDue;

	private boolean leaseTurn;

	/**
	 * Creates the decisions of a shard without jobs and workers.
	 * @param shard the shard
	 * @param epoch the epoch of this owner
	 * @param takeover when this owner took over
	 * @param released whether the earlier owner confirmed that it stopped
	 * @param settings the settings
	 */
	public ShardScheduler(ShardId shard, Epoch epoch, MonotonicTime takeover, boolean released, TaskSettings settings) {
		this.state = new ShardState(shard, epoch, takeover, released, settings);
		this.slowTickDue = takeover;
		this.lifecycle = new Lifecycle(this.state);
		this.queue = new PendingQueue(this.state);
		this.placements = new Placements(this.state, this.lifecycle, this.queue);
		this.opening = new WorkerOpeningRule(this.state, this.placements);
		this.starts = new StartRule(this.state, this.lifecycle, this.queue, this.placements, this.opening);
		this.admission = new AdmissionRule(this.state);
		StopRule stops = new StopRule(this.state);
		this.jobEnds = new JobEndRule(this.state, this.lifecycle, stops);
		this.leases = new LeaseRule(this.state, this.placements, this.opening);
		this.probation = new ProbationRule(this.state, this.opening);
		CheckpointRecorder checkpoints = new CheckpointRecorder(this.state);
		this.evictions = new EvictionRule(this.state, this.lifecycle, stops, checkpoints);
		this.fairShare = new FairShareRule(this.state);
		VictimFinder victims = new VictimFinder(this.state, this.fairShare);
		EvictionBudget budget = new EvictionBudget(settings.evictionsPerMinute(), takeover);
		this.urgentRoom = new UrgentRoomRule(this.state, this.queue, victims, this.evictions);
		this.reclaim = new ReclaimRule(this.state, this.queue, this.fairShare, victims, this.evictions, budget,
				this.placements);
		this.leaving = new LeavingRule(this.state, this.evictions);
		this.shrunkCapacity = new ShrunkCapacityRule(this.state, victims, this.evictions);
		RepeatedFailureRule failures = new RepeatedFailureRule(this.state, this.queue, this.placements, this.probation,
				this.jobEnds);
		this.unplaceable = new UnplaceableRule(this.state, this.queue, this.admission, failures);
		this.reports = new ReportRule(this.lifecycle, this.placements, checkpoints, this.probation, failures,
				this.jobEnds, new UsageRule(this.state, this.placements));
		OverloadRule overload = new OverloadRule(this.state, victims, this.evictions, budget);
		ReconciliationRule reconciliation = new ReconciliationRule(this.state, this.placements, this.reports, stops,
				checkpoints, overload, this.probation, this.opening);
		this.answers = new AnswerRule(this.state, this.placements, this.leases, this.reports, reconciliation,
				this.evictions, stops, this.opening, failures);
	}

	/**
	 * Rebuilds the state from a snapshot and the entries after it.
	 * @param snapshot the snapshot, if any
	 * @param entries the entries
	 * @return why the state cannot be rebuilt; empty if it was
	 */
	public Optional<String> replay(Optional<byte[]> snapshot, List<byte[]> entries) {
		Replay replay = new Replay(this.state, this.lifecycle, this.placements);
		Optional<String> problem = snapshot.flatMap((bytes) -> SnapshotCodec.read(bytes, this.state, replay));
		if (problem.isEmpty()) {
			problem = replay.applyAll(entries);
		}
		if (problem.isEmpty()) {
			for (JobRecord job : this.state.jobs.values()) {
				for (TaskGroup group : job.groups) {
					this.queue.offer(group, false);
				}
				this.jobEnds.checkEnded(job, this.state.takeover);
			}
		}
		return problem;
	}

	/**
	 * Replaces the list of workers.
	 * @param descriptions the workers
	 * @param now the current time
	 * @return the step
	 */
	public TaskStep updateWorkers(Collection<WorkerDescription> descriptions, MonotonicTime now) {
		StepBuilder step = new StepBuilder();
		Set<WorkerRecord> listed = new HashSet<>();
		for (WorkerDescription description : descriptions) {
			WorkerRecord worker = list(description, now);
			if (worker != null) {
				listed.add(worker);
			}
		}
		for (WorkerRecord worker : this.state.workers) {
			if (worker.listed && !listed.contains(worker)) {
				worker.listed = false;
				this.state.ledger.setListed(worker.ledgerIndex, false);
				this.opening.refresh(worker, now);
			}
		}
		Resources largest = Resources.NONE;
		for (WorkerDescription description : descriptions) {
			Resources part = this.state.ledger.largest(description.capacity(), false);
			largest = new Resources(Math.max(largest.milliCores(), part.milliCores()),
					Math.max(largest.memoryMegabytes(), part.memoryMegabytes()),
					Math.max(largest.accelerators(), part.accelerators()));
		}
		this.state.largestVm = largest;
		for (TeamRecord team : this.state.teams.values()) {
			team.setUsed(team.used, this.state.ledger.totalCapacity());
		}
		return finish(step, now);
	}

	/**
	 * Replaces the quotas.
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
			this.queue.unlimit(team);
		}
		return finish(new StepBuilder(), now);
	}

	/**
	 * Accepts or refuses a job.
	 * @param submission the job
	 * @param now the current time
	 * @return the step
	 */
	public TaskStep submit(JobSubmission submission, MonotonicTime now) {
		StepBuilder step = new StepBuilder();
		JobRecord known = this.state.jobs.get(new JobKey(submission.team(), submission.job()));
		JobAnswer answer;
		if (known != null && !known.submission.equals(submission)) {
			answer = new JobAnswer.Refused(JobRefusal.KEY_CONFLICT, 0);
		}
		else if (known != null) {
			// The entry of the first acceptance may not be durable yet.
			step.entry(new TaskLogEntry.OrderMark());
			answer = new JobAnswer.Accepted(true);
		}
		else {
			Optional<JobRefusal> refusal = this.admission.refusal(submission, now);
			answer = refusal.isPresent() ? refuse(refusal.get()) : accept(submission, step, now);
		}
		step.tell(new TaskAction.Tell(submission.team(), submission.job(), answer));
		return finish(step, now);
	}

	/**
	 * Cancels jobs.
	 * @param team the team
	 * @param keys the keys of the jobs
	 * @param now the current time
	 * @return the step
	 */
	public TaskStep cancel(TeamId team, Collection<JobId> keys, MonotonicTime now) {
		StepBuilder step = new StepBuilder();
		List<Long> cancelled = new ArrayList<>();
		boolean any = false;
		for (JobId key : keys) {
			JobRecord job = this.state.jobs.get(new JobKey(team, key));
			JobAnswer answer;
			if (job == null) {
				answer = new JobAnswer.NotFound();
			}
			else if (!this.state.mayCommit(now)) {
				answer = refuse(JobRefusal.STORE_UNAVAILABLE);
			}
			else {
				any = true;
				if (job.unended() > 0) {
					cancelled.add(job.sequence);
				}
				answer = new JobAnswer.Cancelled(this.jobEnds.endAll(job, TaskState.CANCELLED, step, now));
			}
			step.tell(new TaskAction.Tell(team, key, answer));
		}
		if (!cancelled.isEmpty()) {
			step.entry(new TaskLogEntry.JobsCancelled(cancelled));
		}
		else if (any) {
			step.entry(new TaskLogEntry.OrderMark());
		}
		return finish(step, now);
	}

	/**
	 * Takes the outcome of a command.
	 * @param vm the VM of the worker
	 * @param command the command
	 * @param outcome the outcome
	 * @param now the current time
	 * @return the step
	 */
	public TaskStep workerAnswered(VmId vm, WorkerCommand command, WorkerOutcome outcome, MonotonicTime now) {
		StepBuilder step = new StepBuilder();
		WorkerRecord worker = this.state.workersByVm.get(vm);
		if (worker != null) {
			this.answers.apply(worker, command, outcome, step, now);
		}
		return finish(step, now);
	}

	/**
	 * Takes reports that are not the outcome of a command. They may be older than
	 * commands that were answered since, so only what stays true is used: that a task
	 * finished. Anything else makes the worker list its tasks.
	 * @param vm the VM of the worker
	 * @param list the reports
	 * @param now the current time
	 * @return the step
	 */
	public TaskStep reportsArrived(VmId vm, List<TaskReport> list, MonotonicTime now) {
		StepBuilder step = new StepBuilder();
		WorkerRecord worker = this.state.workersByVm.get(vm);
		if (worker == null) {
			return finish(step, now);
		}
		for (TaskReport report : list) {
			TaskRecord task = this.state.find(report.task());
			boolean here = task != null && (task.worker == worker || task.worker == null);
			if (here && report.state() == TaskReport.State.DONE) {
				this.reports.finished(task, step, now);
			}
			else if (here && report.state() != TaskReport.State.RUNNING) {
				worker.renewDueNanos = now.nanos();
			}
		}
		return finish(step, now);
	}

	/**
	 * Sets the commit deadline.
	 * @param deadline the commit deadline
	 * @param now the current time
	 * @return the step
	 */
	public TaskStep setCommitDeadline(MonotonicTime deadline, MonotonicTime now) {
		this.state.commitDeadline = deadline;
		return finish(new StepBuilder(), now);
	}

	/**
	 * Does what is due.
	 * @param now the current time
	 * @return the step
	 */
	public TaskStep tick(MonotonicTime now) {
		StepBuilder step = new StepBuilder();
		if (this.state.fenced) {
			return step.build();
		}
		this.leaseTurn = !this.leaseTurn;
		if (this.leaseTurn) {
			// Renewals must not wait for entries to become durable: during an outage of
			// the
			// store, running tasks would lose their leases.
			for (int i = 0; i < this.state.workers.size(); i++) {
				this.leases.renewIfDue(this.state.workers.get(i), step, now);
			}
			return step.build();
		}
		boolean slow = !now.isBefore(this.slowTickDue);
		if (slow) {
			this.slowTickDue = now.plus(SLOW_INTERVAL);
			this.queue.wakeAll();
			this.jobEnds.forgetOld(now);
			this.fairShare.refresh();
		}
		this.queue.releaseDelayed(now);
		this.evictions.tick(step, now);
		for (int i = 0; i < this.state.workers.size(); i++) {
			WorkerRecord worker = this.state.workers.get(i);
			this.leases.lapseIfPassed(worker, now);
			if (slow) {
				this.probation.tick(worker, now);
				this.leaving.tick(worker, step, now);
				this.shrunkCapacity.tick(worker, step, now);
				this.opening.refresh(worker, now);
			}
		}
		this.reclaim.reopen();
		this.starts.apply(step, now);
		this.urgentRoom.tick(step, now);
		if (slow) {
			this.unplaceable.tick(step, now);
			this.reclaim.tick(step, now);
		}
		step.released(this.placements.takeReleased());
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
	 * Tells whether there is a newer owner.
	 * @return whether a worker has seen a higher epoch
	 */
	public boolean isFenced() {
		return this.state.fenced;
	}

	/**
	 * Returns the snapshot.
	 * @return the bytes
	 */
	public byte[] snapshot() {
		return SnapshotCodec.write(this.state);
	}

	/**
	 * Returns the views of this shard.
	 * @return the views
	 */
	public ShardViews views() {
		return new ShardViews(this.state, this.queue);
	}

	private JobAnswer accept(JobSubmission submission, StepBuilder step, MonotonicTime now) {
		long sequence = this.state.nextSequence;
		step.entry(new TaskLogEntry.JobAccepted(sequence, submission));
		JobRecord job = this.state.addJob(sequence, submission, now.nanos());
		for (TaskGroup group : job.groups) {
			this.queue.offer(group, false);
		}
		return new JobAnswer.Accepted(false);
	}

	private static JobAnswer refuse(JobRefusal reason) {
		boolean passing = reason == JobRefusal.STORE_UNAVAILABLE || reason == JobRefusal.QUEUE_FULL;
		return new JobAnswer.Refused(reason, passing ? RETRY_AFTER_MILLIS : 0);
	}

	private WorkerRecord list(WorkerDescription description, MonotonicTime now) {
		WorkerRecord worker = this.state.worker(WorkerIndexes.of(description.vm()));
		if (worker.vm != null && !worker.vm.equals(description.vm())) {
			// Two VMs with the same index cannot be told apart in the log.
			return null;
		}
		if (worker.vm == null) {
			worker.vm = description.vm();
			this.state.workersByVm.put(worker.vm, worker);
		}
		int rack = this.state.racks.computeIfAbsent(description.rack().value(), (key) -> this.state.racks.size());
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
		this.opening.refresh(worker, now);
		return worker;
	}

	private TaskStep finish(StepBuilder step, MonotonicTime now) {
		if (this.state.fenced) {
			return TaskStep.NOTHING;
		}
		this.starts.apply(step, now);
		step.released(this.placements.takeReleased());
		return step.build();
	}

}
