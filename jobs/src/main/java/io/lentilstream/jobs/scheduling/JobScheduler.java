package io.lentilstream.jobs.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;

import io.lentilstream.jobs.DecisionLog;
import io.lentilstream.jobs.InterferenceSnapshot;
import io.lentilstream.jobs.JobProgress;
import io.lentilstream.jobs.JobState;
import io.lentilstream.jobs.JobSubmission;
import io.lentilstream.jobs.QueuePolicy;
import io.lentilstream.jobs.WorkerCommands;
import io.lentilstream.jobs.WorkerId;
import io.lentilstream.jobs.WorkerListing;
import io.lentilstream.model.JobId;

/**
 * Drives accepted jobs on the VMs of a system, from the takeover to the next one. It is
 * used by one thread.
 */
public final class JobScheduler {

	private final SchedulerState state;

	private final JobProgression opening;

	private final RunEndHandler ends;

	private final RunStopper stops;

	private final ReportPoller holds;

	private final ReportHandler reports;

	private final StragglerDetector stragglers;

	private final DrainingEvacuator evacuation;

	private final LoadLogger load;

	private final PlacementPass pass;

	private final HeadroomReserve headroom;

	private final InterferenceModel interference = new InterferenceModel();

	private final TakeoverTracker takeover;

	/**
	 * Creates a scheduler without jobs and VMs.
	 * @param settings the platform's bounds
	 * @param orders sends orders to VMs
	 * @param log takes a line for each decision
	 * @param clock the steady clock, in milliseconds
	 * @param timeOfDay the time of day, in milliseconds since 1970
	 * @param mandate the right to give orders
	 */
	public JobScheduler(SchedulerSettings settings, WorkerCommands orders, DecisionLog log, LongSupplier clock,
			LongSupplier timeOfDay, LeadershipLease mandate) {
		this.state = new SchedulerState(settings, orders, log, clock, mandate);
		this.takeover = new TakeoverTracker(this.state);
		this.stops = new RunStopper(this.state);
		this.opening = new JobProgression(this.state, this.stops, timeOfDay);
		WorkerCircuitBreaker trust = new WorkerCircuitBreaker(this.state);
		this.headroom = new HeadroomReserve(this.state);
		TailForecast forecast = new TailForecast(this.interference);
		WorkerSelector placement = new WorkerSelector(forecast, this.headroom);
		this.ends = new RunEndHandler(this.state, this.stops, this.opening, trust);
		RunStarter starts = new RunStarter(this.state, this.ends, trust);
		this.reports = new ReportHandler(this.state, starts, this.ends, this.stops,
				new BestEffortThrottle(this.state, forecast));
		this.holds = new ReportPoller(this.state, this.reports, this.ends);
		this.stragglers = new StragglerDetector(this.state, this.stops, starts, trust, placement);
		this.evacuation = new DrainingEvacuator(this.state, this.stops, placement);
		this.load = new LoadLogger(this.state);
		this.pass = new PlacementPass(this.state, placement, starts);
	}

	/**
	 * Takes in a stored job at the takeover.
	 * @param submission the job
	 * @param progress its stored progress, if any
	 */
	public void load(JobSubmission submission, Optional<JobProgress> progress) {
		long now = this.state.now();
		Job job = new Job(submission, now);
		this.state.jobs.put(job.id(), job);
		progress.ifPresent((stored) -> restore(job, stored));
		if (!job.active()) {
			return;
		}
		this.opening.openDue(job, now);
		for (Integer occurrence : List.copyOf(job.occurrences.keySet())) {
			settleStored(job, occurrence, now);
		}
	}

	private void restore(Job job, JobProgress stored) {
		job.state = stored.state();
		job.storedState = stored.state();
		job.endedAtMillis = stored.endedAtMillis();
		job.completedOccurrences.addAll(stored.completedOccurrences());
		for (JobProgress.TaskProgress known : stored.tasks()) {
			if (!job.occurrences.containsKey(known.occurrence())
					&& !job.completedOccurrences.contains(known.occurrence())) {
				job.openOccurrence(known.occurrence());
			}
			Task task = job.find(known.occurrence(), known.step(), known.index());
			if (task == null) {
				continue;
			}
			task.done = known.done();
			task.step.done += known.done() ? 1 : 0;
			task.failedRuns.addAll(known.failedRuns());
			task.lastRun = known.lastRun();
			task.checkpoint = known.checkpoint();
		}
		job.nextOccurrence = 0;
	}

	private void settleStored(Job job, int occurrence, long now) {
		List<StepState> steps = job.occurrences.get(occurrence);
		for (StepState step : steps) {
			for (Task task : step.tasks) {
				task.unsettled = !task.done;
			}
		}
		this.opening.openSteps(job, occurrence, now);
		if (steps.stream().allMatch(StepState::complete)) {
			this.opening.stepDone(job, occurrence, now);
		}
		this.state.waiting.removeIf((task) -> task.unsettled);
	}

	/**
	 * Starts from what a predecessor learnt about images.
	 * @param known the pairs of images
	 */
	public void restoreInterference(InterferenceSnapshot known) {
		this.interference.expect(known);
	}

	/**
	 * Returns what was learnt about images.
	 * @return the pairs of images
	 */
	public InterferenceSnapshot interferenceSnapshot() {
		return this.interference.known();
	}

	/**
	 * Begins to give orders after the stored jobs were loaded.
	 * @param predecessorWorkers the VMs to which the predecessor may have given orders
	 */
	public void start(Collection<WorkerListing> predecessorWorkers) {
		long now = this.state.now();
		this.takeover.begin(predecessorWorkers, now);
		for (WorkerListing listing : predecessorWorkers) {
			if (!this.state.workers.containsKey(listing.id())) {
				Worker worker = new Worker(listing, now);
				worker.unlistedSince = now;
				this.state.workers.put(listing.id(), worker);
			}
		}
		tick();
	}

	/**
	 * Takes in a new job.
	 * @param submission the job
	 */
	public void submit(JobSubmission submission) {
		if (this.state.jobs.containsKey(submission.id())) {
			return;
		}
		long now = this.state.now();
		Job job = new Job(submission, now);
		this.state.jobs.put(job.id(), job);
		this.state.log.append("job-learnt", job.id(), "queue", submission.queue(), "steps", submission.steps().size(),
				"waiting", this.state.waiting.size());
		this.opening.openDue(job, now);
	}

	/**
	 * Cancels a job.
	 * @param id the id
	 */
	public void cancel(JobId id) {
		Job job = this.state.jobs.get(id);
		if (job != null) {
			this.opening.end(job, JobState.CANCELLED, "cancelled by its caller", this.state.now());
		}
	}

	/**
	 * Forgets a job that has ended.
	 * @param id the id
	 */
	public void remove(JobId id) {
		this.state.jobs.remove(id);
	}

	/**
	 * Takes in an entry of the list of VMs.
	 * @param listing the entry
	 */
	public void workerListed(WorkerListing listing) {
		long now = this.state.now();
		Worker worker = this.state.workers.get(listing.id());
		if (worker == null) {
			this.state.workers.put(listing.id(), new Worker(listing, now));
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
		worker.listing = listing;
		worker.unlistedSince = -1;
		if (listing.incarnationStartMillis() > worker.incarnationStartMillis()) {
			this.reports.reborn(worker, listing.incarnationStartMillis(), now);
		}
	}

	/**
	 * Notes that a VM is not in the list any more.
	 * @param id the id
	 * @param silent whether it certainly was silent before, as it is if the store was up
	 */
	public void workerUnlisted(WorkerId id, boolean silent) {
		Worker worker = this.state.workers.get(id);
		if (silent) {
			this.takeover.droppedForSilence(id, this.state.now());
		}
		if (worker != null && worker.unlistedSince < 0) {
			worker.unlistedSince = this.state.now();
			this.state.log.append("worker-unlisted", id, "runs", worker.runs.size());
		}
	}

	/**
	 * Replaces the policies of the queues.
	 * @param policies the policies by the name of the queue
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
	 * Does what is due. Must be called after events and every few milliseconds.
	 */
	public void tick() {
		long now = this.state.now();
		settle(now);
		Iterator<Worker> workers = this.state.workers.values().iterator();
		while (workers.hasNext()) {
			Worker worker = workers.next();
			this.holds.holdIfDue(worker, now);
			this.holds.lapseIfPassed(worker, now);
			worker.runs.values().forEach((run) -> this.stops.sendIfDue(run, now));
			if (gone(worker, now)) {
				workers.remove();
				this.state.log.append("worker-gone", worker);
			}
		}
		this.pass.run(now);
	}

	/**
	 * Looks for due occurrences and stragglers. Must be called a few times a second.
	 */
	public void runPeriodicChecks() {
		long now = this.state.now();
		for (Job job : List.copyOf(this.state.jobs.values())) {
			if (job.active() && job.nextOccurrence < job.submission.schedule().occurrences()) {
				this.opening.openDue(job, now);
			}
		}
		this.headroom.review();
		this.pass.reorder(now);
		this.evacuation.review(now);
		this.load.logIfDue(now);
		for (Worker worker : this.state.workers.values()) {
			this.stragglers.review(worker, now);
		}
	}

	private void settle(long now) {
		if (this.takeover.completes(now)) {
			this.state.log.append("takeover-settled", "scheduler", "workers", this.state.workers.size());
			this.state.jobs.values().forEach((job) -> settled(job));
		}
	}

	private void settled(Job job) {
		for (List<StepState> steps : job.occurrences.values()) {
			for (StepState step : steps) {
				for (Task task : step.tasks) {
					task.unsettled = false;
					this.ends.again(task);
				}
			}
		}
	}

	// A VM that this scheduler never reached got no starts from it.
	private boolean gone(Worker worker, long now) {
		return worker.unlistedSince >= 0 && worker.runs.isEmpty() && worker.silent > 0
				&& !this.takeover.waitsFor(worker.id()) && (!worker.lease.known() || worker.lease.certainlyPassed(now));
	}

	/**
	 * Tells whether a newer scheduler gives orders to the VMs.
	 * @return {@code true} if this scheduler must end
	 */
	public boolean fenced() {
		return this.state.fenced;
	}

	/**
	 * Tells whether a change waits to be stored.
	 * @return {@code true} if {@link #pollChanges} has something to return
	 */
	public boolean hasChanges() {
		return !this.state.changed.isEmpty();
	}

	/**
	 * Tells whether a change waits that a caller may be waiting for.
	 * @return {@code true} if it should be stored at once
	 */
	public boolean hasUrgentChanges() {
		return this.state.urgentChange;
	}

	/**
	 * Hands out changes to be stored; jobs that have ended come first.
	 * @param most the largest number of changes
	 * @return the changes
	 */
	public List<Change> pollChanges(int most) {
		List<Job> jobs = new ArrayList<>(this.state.changed);
		jobs.sort((first, second) -> Boolean.compare(first.active(), second.active()));
		List<Change> changes = new ArrayList<>();
		for (Job job : jobs.subList(0, Math.min(most, jobs.size()))) {
			this.state.changed.remove(job);
			changes.add(new Change(job.progress(), job.version));
		}
		this.state.urgentChange = this.state.changed.stream().anyMatch((job) -> !job.active());
		return changes;
	}

	/**
	 * Notes that a change is stored.
	 * @param change the change
	 */
	public void changeStored(Change change) {
		Job job = this.state.jobs.get(change.progress().job());
		if (job == null) {
			return;
		}
		job.storedVersion = Math.max(job.storedVersion, change.version());
		if (change.progress().state().ended()) {
			job.storedState = change.progress().state();
		}
	}

	/**
	 * Notes that a change could not be stored and has to be handed out again.
	 * @param change the change
	 */
	public void changeNotStored(Change change) {
		Job job = this.state.jobs.get(change.progress().job());
		if (job != null && job.storedVersion < change.version()) {
			this.state.changed.add(job);
			this.state.urgentChange |= !job.active();
		}
	}

	/**
	 * Returns the state of a job that callers may be told.
	 * @param id the id
	 * @return the state, or empty if the job is not known here
	 */
	public Optional<JobState> state(JobId id) {
		Job job = this.state.jobs.get(id);
		if (job == null) {
			return Optional.empty();
		}
		return Optional.of(job.storedState.ended() ? job.storedState : visible(job));
	}

	private static JobState visible(Job job) {
		return job.begun() ? JobState.RUNNING : JobState.QUEUED;
	}

	/**
	 * Counts the jobs of a queue of which no task has started.
	 * @param queue the name of the queue
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
	 * Returns the jobs that ended before a time and whose end is stored.
	 * @param before time of day in milliseconds since 1970
	 * @return the ids
	 */
	public List<JobId> endedBefore(long before) {
		return this.state.jobs.values()
			.stream()
			.filter((job) -> job.storedState.ended() && job.endedAtMillis < before)
			.map(Job::id)
			.toList();
	}

	/**
	 * Returns the VMs that this scheduler knows.
	 * @return their latest listings
	 */
	public List<WorkerListing> workers() {
		return this.state.workers.values().stream().map((worker) -> worker.listing).toList();
	}

	/**
	 * A change of a job that has to be stored.
	 *
	 * @param progress the progress to store
	 * @param version the version of the progress
	 */
	public record Change(JobProgress progress, long version) {
	}

}
