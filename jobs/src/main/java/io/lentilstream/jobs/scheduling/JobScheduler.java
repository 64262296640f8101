package io.lentilstream.jobs.scheduling;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;

import io.lentilstream.jobs.DecisionLog;
import io.lentilstream.jobs.JobProgress;
import io.lentilstream.jobs.JobState;
import io.lentilstream.jobs.JobSubmission;
import io.lentilstream.jobs.QueuePolicy;
import io.lentilstream.jobs.WorkerCommands;
import io.lentilstream.jobs.WorkerId;
import io.lentilstream.jobs.WorkerListing;
import io.lentilstream.jobs.carryover.CarriedKnowledge;
import io.lentilstream.model.AvailabilityZoneId;
import io.lentilstream.model.JobId;

/**
 * A scheduler that runs the accepted jobs on the VMs of a system, from its takeover until
 * that of its successor. Not thread-safe.
 */
public final class JobScheduler {

	final SchedulerState state;

	private final JobProgression progression;

	private final RunEndHandler runEndHandler;

	private final RunStopper runStopper;

	private final ReportPoller reportPoller;

	private final ReportHandler reportHandler;

	private final StragglerDetector stragglerDetector;

	private final DrainingEvacuator evacuator;

	private final PausedRunMover pausedRunMover;

	private final LoadLogger loadLogger;

	private final PlacementPass placementPass;

	private final HeadroomReserve headroom;

	private final UtilizationTracker utilization;

	private final WorkerConditions workerConditions;

	private final InterferenceModel interference = new InterferenceModel();

	private final TakeoverTracker takeover;

	private final ExpiringLeases expiringLeases;

	private final CrashDetector crashDetector;

	private final ZoneEvacuation zoneEvacuation;

	private final AdoptedRunReview adoptedRunReview;

	private final StopGuarantee stopGuarantee;

	private final EndedJobs endedJobs;

	private final JobMemory memory;

	/**
	 * Creates a scheduler without jobs and VMs.
	 * @param settings the limits set by the platform
	 * @param commands sends commands to VMs
	 * @param log receives the scheduling decisions
	 * @param clock the monotonic clock, in milliseconds
	 * @param timeOfDay the time of day, in milliseconds since 1970
	 * @param leadershipLease the right to send commands to VMs
	 */
	public JobScheduler(SchedulerSettings settings, WorkerCommands commands, DecisionLog log, LongSupplier clock,
			LongSupplier timeOfDay, LeadershipLease leadershipLease) {
		this.state = new SchedulerState(settings, commands, log, clock, leadershipLease);
		this.takeover = new TakeoverTracker(this.state);
		this.expiringLeases = new ExpiringLeases(this.state, this.takeover);
		this.workerConditions = new WorkerConditions(this.state);
		this.endedJobs = new EndedJobs(this.state, this.takeover);
		this.memory = new JobMemory(this.state, this.endedJobs);
		this.stopGuarantee = new StopGuarantee(this.state, this.takeover, this.endedJobs);
		this.zoneEvacuation = new ZoneEvacuation(log);
		this.runStopper = new RunStopper(this.state);
		this.adoptedRunReview = new AdoptedRunReview(this.takeover, this.runStopper);
		this.progression = new JobProgression(this.state, this.runStopper, timeOfDay);
		WorkerCircuitBreaker circuitBreaker = new WorkerCircuitBreaker(this.state);
		this.headroom = new HeadroomReserve(this.state);
		TailForecast forecast = new TailForecast(this.interference);
		this.utilization = new UtilizationTracker(this.state);
		ReliablePlacementRule reliability = new ReliablePlacementRule(this.state);
		WorkerSelector workerSelector = new WorkerSelector(forecast, this.headroom, this.utilization, reliability);
		this.runEndHandler = new RunEndHandler(this.state, this.runStopper, this.progression, circuitBreaker,
				reliability);
		RunStarter runStarter = new RunStarter(this.state, this.runEndHandler, circuitBreaker);
		CrashAttribution crashAttribution = new CrashAttribution(this.state, this.progression);
		this.crashDetector = new CrashDetector(this.state, this.runEndHandler, crashAttribution);
		SuspectStarter suspectStarter = new SuspectStarter(this.state, workerSelector, runStarter);
		this.reportHandler = new ReportHandler(this.state, runStarter, this.runEndHandler, this.runStopper,
				this.takeover, new BestEffortThrottle(this.state, forecast), this.crashDetector, crashAttribution,
				suspectStarter, this.workerConditions, this.adoptedRunReview, circuitBreaker);
		this.reportPoller = new ReportPoller(this.state, this.reportHandler, this.runEndHandler, this.crashDetector,
				this.takeover);
		this.stragglerDetector = new StragglerDetector(this.state, this.runStopper, runStarter, circuitBreaker,
				workerSelector, reliability);
		this.evacuator = new DrainingEvacuator(this.state, this.runStopper, workerSelector);
		this.pausedRunMover = new PausedRunMover(this.state, this.runStopper, workerSelector);
		this.loadLogger = new LoadLogger(this.state, timeOfDay, workerSelector, this.memory);
		this.placementPass = new PlacementPass(this.state, workerSelector, runStarter, suspectStarter,
				new PlaceWaitTracker(this.state, workerSelector, this.state.runTimes.predictor()));
	}

	/**
	 * Loads a stored job during the takeover. Must be called before {@link #start}.
	 * @param submission the job
	 * @param progress the stored progress, if any
	 */
	public void load(JobSubmission submission, Optional<JobProgress> progress) {
		long now = this.state.now();
		if (progress.isPresent() && progress.get().state().ended()) {
			loadEnded(submission.id(), progress.get().state(), progress.get().endedAtMillis());
			return;
		}
		Job job = new Job(submission, now, this.state.runTimes.predictor());
		job.loadedAtTakeover = true;
		this.state.jobs.put(job.id(), job);
		progress.ifPresent((stored) -> restoreProgress(job, stored));
		this.progression.startDueOccurrences(job, now);
		progress.ifPresent((stored) -> restoreOccurrences(job, stored.startableOccurrences(), now));
	}

	/**
	 * Loads a stored job that has ended during the takeover. Must be called before
	 * {@link #start}.
	 * @param id the job
	 * @param finalState the state
	 * @param endedAtMillis when the job ended, in milliseconds since 1970
	 */
	public void loadEnded(JobId id, JobState finalState, long endedAtMillis) {
		this.endedJobs.load(id, finalState, endedAtMillis, this.state.now());
	}

	private void restoreOccurrences(Job job, int startable, long now) {
		boolean known = startable != JobProgress.UNKNOWN_OCCURRENCES;
		job.recordedOccurrences = known ? startable : job.nextOccurrence;
		job.requestedOccurrences = job.recordedOccurrences;
		for (Integer occurrence : List.copyOf(job.occurrences.keySet())) {
			if (occurrence < job.recordedOccurrences) {
				restoreOccurrence(job, occurrence, now);
			}
		}
	}

	private void restoreProgress(Job job, JobProgress stored) {
		job.state = stored.state();
		job.storedState = stored.state();
		job.endedAtMillis = stored.endedAtMillis();
		job.completedOccurrences.addAll(stored.completedOccurrences());
		for (JobProgress.TaskProgress taskProgress : stored.tasks()) {
			if (!job.occurrences.containsKey(taskProgress.occurrence())
					&& !job.completedOccurrences.contains(taskProgress.occurrence())) {
				job.createOccurrence(taskProgress.occurrence());
			}
			Task task = job.findTask(taskProgress.occurrence(), taskProgress.step(), taskProgress.index());
			if (task == null) {
				continue;
			}
			if (taskProgress.done()) {
				task.step.markDone(task);
			}
			task.failedRuns.addAll(taskProgress.failedRuns());
			task.lastRun = taskProgress.lastRun();
			task.checkpoint = taskProgress.checkpoint();
			task.suspicion.restore(taskProgress.suspicion());
			if (!taskProgress.suspicion().none()) {
				this.state.suspects.add(task);
			}
		}
		restoreSteps(job, stored);
		// The clock of the predecessor may have been ahead.
		for (int occurrence = 0; occurrence < stored.startableOccurrences(); occurrence++) {
			if (!job.occurrences.containsKey(occurrence) && !job.completedOccurrences.contains(occurrence)) {
				job.createOccurrence(occurrence);
			}
		}
		job.nextOccurrence = Math.max(0, stored.startableOccurrences());
	}

	private static void restoreSteps(Job job, JobProgress stored) {
		for (JobProgress.StepProgress progress : stored.steps()) {
			if (job.completedOccurrences.contains(progress.occurrence())) {
				continue;
			}
			List<StepState> steps = job.occurrences.get(progress.occurrence());
			if (steps == null) {
				steps = job.createOccurrence(progress.occurrence());
			}
			if (progress.step() < steps.size()) {
				BitSet done = BitSet.valueOf(progress.doneBits());
				done.stream()
					.limit(steps.get(progress.step()).spec.count())
					.forEach(steps.get(progress.step())::recordDone);
			}
		}
	}

	private void restoreOccurrence(Job job, int occurrence, long now) {
		List<StepState> steps = job.occurrences.get(occurrence);
		for (StepState step : steps) {
			step.mayHaveUnknownRuns = !step.complete();
			for (Task task : step.tasks()) {
				task.possiblyRunning = !task.done;
				TaskTimerEvents.takenOver(task, now);
			}
		}
		this.progression.releaseReadySteps(job, occurrence, now);
		if (steps.stream().allMatch(StepState::complete)) {
			this.progression.handleStepCompleted(job, occurrence, now);
		}
		this.state.waiting.removeIf((task) -> task.possiblyRunning);
	}

	/**
	 * Returns all knowledge that this scheduler hands over to its successor. To be
	 * restored before {@link #start}.
	 * @return the kinds of knowledge
	 */
	public List<CarriedKnowledge> carriedKnowledge() {
		List<CarriedKnowledge> kinds = new ArrayList<>(
				List.of(new InterferenceKnowledge(this.interference), this.workerConditions));
		this.state.runTimes.carriedKnowledge().ifPresent(kinds::add);
		return List.copyOf(kinds);
	}

	/**
	 * Restores the leases that the predecessor has left to expire. Must be called before
	 * {@link #start} if the predecessor has stored them, and only then.
	 * @param record how long the lease of each VM may last, in milliseconds
	 */
	public void restoreExpiringLeases(Map<WorkerId, Long> record) {
		this.expiringLeases.restore(record);
	}

	/**
	 * Tells whether the leases that are left to expire should be stored.
	 * @return {@code true} if {@link #recordExpiringLeases} should be called
	 */
	public boolean expiringLeasesDue() {
		return this.expiringLeases.due(this.state.now());
	}

	/**
	 * Returns the leases of silent VMs, which are not extended from now on. The record
	 * must replace the stored one, by {@link #expiringLeasesStored} if that succeeds.
	 * @return how long the lease of each VM may last, in milliseconds
	 */
	public Map<WorkerId, Long> recordExpiringLeases() {
		return this.expiringLeases.record(this.state.now());
	}

	/**
	 * Confirms that a record of leases is stored, so that other VMs receive leases.
	 * @param record the record
	 */
	public void expiringLeasesStored(Map<WorkerId, Long> record) {
		this.expiringLeases.recordStored(record);
	}

	/**
	 * Starts to send commands, after the stored jobs were loaded.
	 * @param predecessorWorkers the VMs to which the predecessor may have sent commands
	 */
	public void start(Collection<WorkerListing> predecessorWorkers) {
		start(predecessorWorkers, new Predecessor(this.state.now(), false));
	}

	/**
	 * Starts to send commands, after the stored jobs were loaded.
	 * @param predecessorWorkers the VMs to which the predecessor may have sent commands
	 * @param predecessor what is known about its end
	 */
	public void start(Collection<WorkerListing> predecessorWorkers, Predecessor predecessor) {
		long now = this.state.now();
		this.takeover.startWaiting(predecessorWorkers, this.expiringLeases, predecessor, now);
		for (WorkerListing listing : predecessorWorkers) {
			if (!this.state.workers.containsKey(listing.id())) {
				Worker worker = new Worker(listing, now);
				worker.unlistedSince = now;
				worker.incarnationListed = false;
				this.zoneEvacuation.mark(worker);
				this.expiringLeases.workerAdded(worker);
				worker.lease.inherit(now + this.takeover.remainingMillis(listing.id(), now));
				this.state.workers.put(listing.id(), worker);
			}
		}
		this.memory.update();
		tick();
	}

	/**
	 * Adds a new job. Has no effect if a job with this id is known.
	 * @param submission the job
	 */
	public void submit(JobSubmission submission) {
		if (this.state.jobs.containsKey(submission.id()) || this.endedJobs.find(submission.id()) != null) {
			return;
		}
		long now = this.state.now();
		Job job = new Job(submission, now, this.state.runTimes.predictor());
		this.state.jobs.put(job.id(), job);
		this.state.log.append("job-learnt", job.id(), "queue", submission.queue(), "steps", submission.steps().size(),
				"waiting", this.state.waiting.size());
		this.progression.startDueOccurrences(job, now);
		this.memory.jobAdded(job);
	}

	/**
	 * Cancels a job. Has no effect if the job is unknown or has ended.
	 * @param id the id
	 */
	public void cancel(JobId id) {
		Job job = this.state.jobs.get(id);
		if (job != null) {
			this.progression.endJob(job, JobState.CANCELLED, "cancelled by its caller", this.state.now());
		}
	}

	/**
	 * Tells whether the tasks of a cancelled job stop in time even if this scheduler is
	 * lost at once. Must not be relied on unless this scheduler certainly leads.
	 * @param id the id
	 * @return {@code true} if the cancellation may be acknowledged
	 */
	public boolean stopGuaranteed(JobId id) {
		return this.stopGuarantee.holds(id, this.state.now());
	}

	/**
	 * Removes a job that has ended.
	 * @param id the id
	 */
	public void remove(JobId id) {
		this.state.suspects.removeIf((task) -> task.job.id().equals(id));
		this.state.jobs.remove(id);
		this.endedJobs.remove(id);
	}

	/**
	 * Handles a new or changed entry in the list of VMs.
	 * @param listing the entry
	 */
	public void workerListed(WorkerListing listing) {
		long now = this.state.now();
		Worker worker = this.state.workers.get(listing.id());
		if (worker == null) {
			worker = new Worker(listing, now);
			this.zoneEvacuation.mark(worker);
			this.expiringLeases.workerAdded(worker);
			this.state.workers.put(listing.id(), worker);
			this.state.log.append("worker-listed", listing.id(), "address", listing.address(), "zone", listing.zone(),
					"draining", listing.draining());
			return;
		}
		if (listing.draining() != worker.listing.draining()) {
			this.state.log.append("worker-draining", listing.id(), "draining", listing.draining());
		}
		if (listing.incarnationStartMillis() < worker.incarnationStartMillis()) {
			return;
		}
		if (listing.incarnationStartMillis() > worker.incarnationStartMillis()) {
			this.reportHandler.handleRestart(worker, listing.incarnationStartMillis(), "list", now);
		}
		worker.listing = listing;
		this.zoneEvacuation.mark(worker);
		worker.incarnationListed = true;
		worker.drained |= listing.draining();
		worker.unlistedSince = -1;
	}

	/**
	 * Handles the removal of a VM from the list.
	 * @param id the id
	 * @param droppedForSilence whether the VM certainly sent no heartbeats before its
	 * removal, which holds if the store was available
	 */
	public void workerUnlisted(WorkerId id, boolean droppedForSilence) {
		Worker worker = this.state.workers.get(id);
		if (droppedForSilence) {
			this.takeover.shortenWait(id, this.state.now());
		}
		if (worker != null && worker.unlistedSince < 0) {
			worker.unlistedSince = this.state.now();
			this.state.log.append("worker-unlisted", id, "runs", worker.runs.size());
		}
	}

	/**
	 * Replaces the policies of the queues and applies them to active jobs.
	 * @param policies the policies by queue name
	 */
	public void updatePolicies(Map<String, QueuePolicy> policies) {
		for (Job job : this.state.jobs.values()) {
			QueuePolicy policy = policies.get(job.submission.queue());
			if (policy != null && job.active() && !policy.equals(job.policy)) {
				List<Task> waiting = this.state.waiting.stream().filter((task) -> task.job == job).toList();
				waiting.forEach(this.state.waiting::remove);
				job.policy = policy;
				this.state.waiting.addAll(waiting);
			}
		}
	}

	/**
	 * Replaces the availability zones in which no tasks may be started.
	 * @param zones the zones that operators evacuate
	 */
	public void updateEvacuations(Set<AvailabilityZoneId> zones) {
		this.zoneEvacuation.update(zones, this.state.workers.values());
	}

	/**
	 * Performs the work that is due: sends commands, drops runs with expired leases and
	 * places waiting tasks. Must be called after events and every few milliseconds.
	 */
	public void tick() {
		long now = this.state.now();
		if (this.state.holdOnly) {
			this.state.workers.values().forEach((worker) -> this.reportPoller.requestReportIfDue(worker, now));
			return;
		}
		completeTakeoverIfDue(now);
		Iterator<Worker> workers = this.state.workers.values().iterator();
		while (workers.hasNext()) {
			Worker worker = workers.next();
			this.reportPoller.requestReportIfDue(worker, now);
			this.reportPoller.dropRunsIfLeaseExpired(worker, now);
			worker.runs.values().forEach((run) -> this.runStopper.sendIfDue(run, now));
			if (removable(worker, now)) {
				workers.remove();
				this.state.log.append("worker-gone", worker);
			}
		}
		this.placementPass.run(now);
	}

	/**
	 * Performs the less frequent checks, such as those for due occurrences, stragglers
	 * and draining VMs. Must be called several times per second.
	 */
	public void runPeriodicChecks() {
		if (this.state.holdOnly) {
			return;
		}
		long now = this.state.now();
		for (Job job : List.copyOf(this.state.jobs.values())) {
			if (job.active() && job.nextOccurrence < job.submission.schedule().occurrences()) {
				this.progression.startDueOccurrences(job, now);
			}
		}
		this.endedJobs.discardTasks(now);
		this.memory.update();
		this.state.taskFeeder.countTasks();
		this.headroom.updatePeak();
		this.utilization.update(now);
		this.placementPass.reorder(now);
		this.evacuator.evacuate(now);
		this.pausedRunMover.review(now);
		this.loadLogger.logIfDue(now);
		for (Worker worker : this.state.workers.values()) {
			this.stragglerDetector.check(worker, now);
		}
	}

	private void completeTakeoverIfDue(long now) {
		if (this.takeover.completesNow(now)) {
			this.state.log.append("takeover-settled", "scheduler", "workers", this.state.workers.size());
			this.adoptedRunReview.takeoverCompleted(now);
			this.state.jobs.values().forEach((job) -> addWaitingTasks(job));
		}
	}

	private void addWaitingTasks(Job job) {
		for (List<StepState> steps : job.occurrences.values()) {
			for (StepState step : steps) {
				step.mayHaveUnknownRuns = false;
				for (Task task : step.tasks()) {
					task.possiblyRunning = false;
					this.runEndHandler.addWaitingIfStartable(task);
				}
			}
		}
	}

	// This scheduler has not started runs on a VM that it never reached.
	private boolean removable(Worker worker, long now) {
		return worker.unlistedSince >= 0 && worker.runs.isEmpty() && worker.missedReports > 0
				&& !this.takeover.waitsFor(worker.id())
				&& (!worker.lease.clockKnown() || worker.lease.certainlyExpired(now));
	}

	/**
	 * Sends no more starts and stops, since a successor is about to take over. Reports
	 * are still requested, which extends the leases of running tasks until then.
	 */
	public void holdOnly() {
		this.state.holdOnly = true;
	}

	/**
	 * Tells whether this scheduler is fenced off, since a newer scheduler sends commands
	 * to the VMs.
	 * @return {@code true} if this scheduler must terminate
	 */
	public boolean fenced() {
		return this.state.fenced;
	}

	/**
	 * Tells whether there are changes to be stored.
	 * @return {@code true} if {@link #pollChanges} would return changes
	 */
	public boolean hasChanges() {
		return !this.state.changedJobs.isEmpty();
	}

	/**
	 * Tells whether there is a change to be stored for which a caller may be waiting.
	 * @return {@code true} if the changes should be stored immediately
	 */
	public boolean hasUrgentChanges() {
		return this.state.urgentChange;
	}

	/**
	 * Tells whether the first task of an occurrence waits for a change to be stored.
	 * @return {@code true} if the changes should be stored without any delay
	 */
	public boolean hasFirstStartWaiting() {
		return this.state.firstStartWaiting;
	}

	/**
	 * Removes and returns changes to be stored; those of jobs of which tasks wait for it
	 * come first, then those of ended jobs. Each change must be passed to
	 * {@link #changeStored} or {@link #changeNotStored}.
	 * @param maxChanges the largest number of changes to return
	 * @return the changes
	 */
	public List<Change> pollChanges(int maxChanges) {
		List<Job> jobs = new ArrayList<>(this.state.changedJobs);
		jobs.sort(Comparator.comparing((Job job) -> !job.awaitsRecord()).thenComparing(Job::active));
		List<Change> changes = new ArrayList<>();
		for (Job job : jobs.subList(0, Math.min(maxChanges, jobs.size()))) {
			this.state.changedJobs.remove(job);
			changes.add(new Change(job.progress(), job.version));
		}
		this.state.urgentChange = this.state.changedJobs.stream().anyMatch((job) -> !job.active());
		this.state.firstStartWaiting = this.state.changedJobs.stream().anyMatch(Job::awaitsRecord);
		return changes;
	}

	/**
	 * Confirms that a change is stored.
	 * @param change the change
	 * @return whether tasks that waited for it may start from now on
	 */
	public boolean changeStored(Change change) {
		Job job = this.state.jobs.get(change.progress().job());
		if (job == null) {
			return false;
		}
		boolean newRecord = change.progress().startableOccurrences() > job.recordedOccurrences;
		job.storedVersion = Math.max(job.storedVersion, change.version());
		job.recordedOccurrences = Math.max(job.recordedOccurrences, change.progress().startableOccurrences());
		if (change.progress().state().ended()) {
			job.storedState = change.progress().state();
		}
		return newRecord && job.active();
	}

	/**
	 * Returns a change that could not be stored, so that it is handed out again.
	 * @param change the change
	 */
	public void changeNotStored(Change change) {
		Job job = this.state.jobs.get(change.progress().job());
		if (job != null && job.storedVersion < change.version()) {
			this.state.changedJobs.add(job);
			this.state.urgentChange |= !job.active();
			this.state.firstStartWaiting |= job.awaitsRecord();
		}
	}

	/**
	 * Returns the state of a job that may be reported to callers. A final state is only
	 * returned once it is stored.
	 * @param id the id
	 * @return the state, or empty if the job is unknown
	 */
	public Optional<JobState> state(JobId id) {
		Job job = this.state.jobs.get(id);
		if (job == null) {
			return Optional.ofNullable(this.endedJobs.find(id)).map((ended) -> ended.state);
		}
		return Optional.of(job.storedState.ended() ? job.storedState : visibleState(job));
	}

	private static JobState visibleState(Job job) {
		return job.hasStarted() ? JobState.RUNNING : JobState.QUEUED;
	}

	/**
	 * Counts the jobs of a queue of which no task has started.
	 * @param queue the queue name
	 * @return the number of jobs
	 */
	public int queuedJobs(String queue) {
		int count = 0;
		for (Job job : this.state.jobs.values()) {
			if (job.state == JobState.QUEUED && job.submission.queue().equals(queue)) {
				count++;
			}
		}
		return count;
	}

	/**
	 * Returns the memory that further jobs may take.
	 * @return the number of bytes; 0 if there is none
	 */
	public long freeBytes() {
		return this.memory.freeBytes();
	}

	/**
	 * Returns jobs that ended before a time, whose end is stored and of which nothing
	 * runs any more.
	 * @param before the time in milliseconds since 1970
	 * @param maxJobs the maximum number of jobs
	 * @return the ids
	 */
	public List<JobId> endedBefore(long before, int maxJobs) {
		return this.endedJobs.endedBefore(before, maxJobs);
	}

	/**
	 * Returns the VMs that are known to this scheduler.
	 * @return their latest listings
	 */
	public List<WorkerListing> workers() {
		return this.state.workers.values().stream().map((worker) -> worker.listing).toList();
	}

	/**
	 * A change of a job that has to be stored.
	 *
	 * @param progress the progress to store
	 * @param version the version of the progress, which increases with each change
	 */
	public record Change(JobProgress progress, long version) {
	}

}
