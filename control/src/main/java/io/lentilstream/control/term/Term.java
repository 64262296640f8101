package io.lentilstream.control.term;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import io.lentilstream.control.EventLoop;
import io.lentilstream.control.leadership.Leadership;
import io.lentilstream.control.store.Commit;
import io.lentilstream.control.store.MetadataStore;
import io.lentilstream.control.store.PrefixFollower;
import io.lentilstream.control.store.RangeReader;
import io.lentilstream.control.store.StoreReply;
import io.lentilstream.control.store.StoredItem;
import io.lentilstream.jobs.DecisionLog;
import io.lentilstream.jobs.InterferenceSnapshot;
import io.lentilstream.jobs.JobProgress;
import io.lentilstream.jobs.JobState;
import io.lentilstream.jobs.JobSubmission;
import io.lentilstream.jobs.QueuePolicy;
import io.lentilstream.jobs.WorkerListing;
import io.lentilstream.jobs.codec.DecodeException;
import io.lentilstream.jobs.codec.InterferenceCodec;
import io.lentilstream.jobs.codec.ProgressCodec;
import io.lentilstream.jobs.codec.SubmissionCodec;
import io.lentilstream.jobs.scheduling.JobScheduler;
import io.lentilstream.jobs.scheduling.LeadershipLease;
import io.lentilstream.jobs.scheduling.SchedulerSettings;
import io.lentilstream.model.JobId;

/**
 * Is one term of leadership: reads the stored jobs, then drives them until it is stopped.
 */
public final class Term {

	/** Run numbers that one term may use for a task before they are stored. */
	private static final int RUNS_PER_TERM = 10_000;

	private static final long TICK_MILLIS = 25;

	private static final long REVIEW_MILLIS = 200;

	private static final long CLEAN_MILLIS = 5000;

	private static final long RETRY_MILLIS = 200;

	/** Time between two snapshots of what was learnt about images, in milliseconds. */
	private static final long SNAPSHOT_MILLIS = 4000;

	/** Jobs that are deleted in one commit; each has three items. */
	private static final int JOBS_PER_CLEANING = 10;

	private static final PrefixFollower.Pace INTAKE_PACE = new PrefixFollower.Pace(1000, 200);

	private static final PrefixFollower.Pace LIST_PACE = new PrefixFollower.Pace(1000, 250);

	private final EventLoop loop;

	private final MetadataStore store;

	private final DecisionLog log;

	private final WorkerPlatform platform;

	private final long keepMillis;

	private final WorkerPlatform.Orders orders;

	private final JobScheduler scheduler;

	private final ProgressLog progressLog;

	private final WorkerRegister register;

	private final PrefixFollower intake;

	private final PrefixFollower list;

	private final Consumer<String> resign;

	private final IntakeGate gate;

	private final BooleanSupplier leaseHeld;

	private final long token;

	private final long startedAt;

	private Map<String, QueuePolicy> policies = Map.of();

	private final Set<JobId> early = new HashSet<>();

	private boolean begun;

	private boolean stopped;

	private boolean turnDue;

	/**
	 * Creates a term that has not started.
	 * @param tools what the parts of the process share
	 * @param mandate the right to give orders
	 * @param platform follows VMs and gives them orders
	 * @param settings the platform's bounds
	 * @param keepMillis how long jobs are kept after their end, in milliseconds
	 * @param resign gives the leadership up, with the reason
	 * @param leaseHeld tells whether the lease of the leader has certainly not ended
	 * @param storeSteadySince since when the store has answered all calls, in
	 * milliseconds
	 */
	public Term(Tools tools, Leadership.Mandate mandate, WorkerPlatform platform, SchedulerSettings settings,
			long keepMillis, Consumer<String> resign, BooleanSupplier leaseHeld, LongSupplier storeSteadySince) {
		this.gate = new IntakeGate(leaseHeld);
		this.leaseHeld = leaseHeld;
		this.loop = tools.loop();
		this.store = tools.store();
		this.log = tools.log();
		this.platform = platform;
		this.keepMillis = keepMillis;
		this.resign = resign;
		this.token = mandate.token();
		this.startedAt = this.loop.now();
		this.orders = platform.orders(mandate.token());
		this.scheduler = new JobScheduler(settings, new PromptOrders(this.orders, this::turnSoon), this.log,
				this.loop::now, this.loop::timeOfDay,
				new LeadershipLease(mandate.term() * RUNS_PER_TERM, mandate.leaseValidUntil()));
		Runnable superseded = () -> resign.accept("superseded in the store");
		this.progressLog = new ProgressLog(this.loop, this.store, this.scheduler, this.token, superseded);
		this.register = new WorkerRegister(this.loop, this.store, this.scheduler, this.token, superseded);
		this.intake = new PrefixFollower(this.loop, this.store, this.log, JobKeys.INTAKE, INTAKE_PACE,
				new IntakeListener());
		this.list = new PrefixFollower(this.loop, this.store, this.log, platform.listPrefix(), LIST_PACE,
				new WorkerListListener(tools, platform, this.register,
						new WorkerListListener.Steadiness(storeSteadySince, settings.unlistedAfterMillis()),
						this::turnSoon));
	}

	/**
	 * Starts to read the stored jobs.
	 */
	public void start() {
		if (this.stopped) {
			return;
		}
		Loading loading = new Loading();
		RangeReader.readAll(this.store, JobKeys.INTAKE, loading::intakeRead);
		RangeReader.readAll(this.store, JobKeys.PROGRESS, loading::progressRead);
		this.store.read(JobKeys.WORKERS, loading::workersRead);
		this.store.read(JobKeys.INTERFERENCE, loading::interferenceRead);
	}

	/**
	 * Stops to give orders.
	 */
	public void stop() {
		this.stopped = true;
		this.intake.stop();
		this.list.stop();
		this.progressLog.stop();
		this.register.stop();
		this.orders.close();
	}

	/**
	 * Takes in a job that is stored.
	 * @param submission the job
	 */
	public void submitted(JobSubmission submission) {
		if (!this.begun || this.stopped) {
			return;
		}
		this.gate.offer(submission);
		takeIn();
		turnSoon();
	}

	private void takeIn() {
		for (JobSubmission submission : this.gate.release()) {
			QueuePolicy policy = this.policies.get(submission.queue());
			this.scheduler.submit((policy != null) ? withPolicy(submission, policy) : submission);
			if (this.early.remove(submission.id())) {
				this.scheduler.cancel(submission.id());
			}
		}
	}

	/**
	 * Takes in a cancellation that is stored.
	 * @param job the job
	 */
	public void cancelled(JobId job) {
		if (!this.begun || this.stopped) {
			return;
		}
		if (this.scheduler.state(job).isEmpty()) {
			this.early.add(job);
		}
		this.scheduler.cancel(job);
		turnSoon();
	}

	/**
	 * Replaces the policies of the queues.
	 * @param latest the policies by the name of the queue
	 */
	public void policies(Map<String, QueuePolicy> latest) {
		this.policies = latest;
		if (this.begun) {
			this.scheduler.updatePolicies(latest);
		}
	}

	/**
	 * Returns the state of a job that callers may be told.
	 * @param job the job
	 * @return the state, or empty if it is not known here
	 */
	public Optional<JobState> state(JobId job) {
		return this.begun ? this.scheduler.state(job) : Optional.empty();
	}

	/**
	 * Tells whether no other process can have been elected.
	 * @return {@code false} if the lease may have ended
	 */
	public boolean leaseHeld() {
		return this.leaseHeld.getAsBoolean();
	}

	/**
	 * Counts the jobs of a queue of which no task has started.
	 * @param queue the name of the queue
	 * @return the number, or empty before the stored jobs are read
	 */
	public Optional<Integer> pending(String queue) {
		return this.begun ? Optional.of(this.scheduler.queuedJobs(queue)) : Optional.empty();
	}

	private static JobSubmission withPolicy(JobSubmission submission, QueuePolicy policy) {
		return new JobSubmission(submission.id(), submission.queue(), policy, submission.payload(), submission.steps(),
				submission.schedule(), submission.acceptedAtMillis());
	}

	private void begin(Loading loading) {
		Map<JobId, StoredItem> progress = new HashMap<>();
		for (StoredItem item : loading.progress.items()) {
			JobKeys.idBelow(JobKeys.PROGRESS, item.key()).ifPresent((job) -> progress.put(job, item));
		}
		Set<JobId> cancelled = new HashSet<>();
		Set<String> keys = new HashSet<>();
		for (StoredItem item : loading.intake.items()) {
			keys.add(item.key());
			JobKeys.idBelow(JobKeys.CANCELLATIONS, item.key()).ifPresent(cancelled::add);
		}
		for (StoredItem item : loading.intake.items()) {
			JobKeys.idBelow(JobKeys.SUBMISSIONS, item.key()).ifPresent((job) -> load(job, item, progress.get(job)));
		}
		List<WorkerListing> predecessorWorkers = loading.workers.exists()
				? WorkerRegister.decode(loading.workers.value(),
						(ex) -> this.log.append("workers-unreadable", JobKeys.WORKERS, "error", ex))
				: List.of();
		this.register.loaded(loading.workers, predecessorWorkers);
		expectInterference(loading.interference);
		this.begun = true;
		this.scheduler.updatePolicies(this.policies);
		cancelled.forEach(this.scheduler::cancel);
		this.log.append("term-begun", this.token, "jobs", loading.intake.items().size(), "workers",
				predecessorWorkers.size(), "after-ms", this.loop.now() - this.startedAt);
		this.scheduler.start(predecessorWorkers);
		this.intake.startAfter(keys, loading.intake.asOfRevision());
		this.list.start();
		turn();
		review();
		clean();
		this.loop.after(SNAPSHOT_MILLIS, this::storeInterference);
	}

	private void expectInterference(StoredItem item) {
		if (!item.exists()) {
			return;
		}
		try {
			this.scheduler.restoreInterference(InterferenceCodec.decode(item.value()));
		}
		catch (DecodeException ex) {
			this.log.append("interference-unreadable", item.key(), "error", ex);
		}
	}

	private void storeInterference() {
		if (this.stopped) {
			return;
		}
		this.loop.after(SNAPSHOT_MILLIS, this::storeInterference);
		InterferenceSnapshot known = this.scheduler.interferenceSnapshot();
		if (known.pairs().isEmpty()) {
			return;
		}
		Commit commit = new Commit().require(Leadership.LEADER_KEY, this.token)
			.write(JobKeys.INTERFERENCE, InterferenceCodec.encode(known), 0);
		this.store.commit(commit, (reply) -> {
			if (!(reply instanceof StoreReply.Ok<Long>)) {
				// The next snapshot replaces this one.
				this.log.append("interference-not-stored", this.token, "reply", reply);
			}
		});
	}

	private void load(JobId job, StoredItem submission, StoredItem progress) {
		try {
			JobProgress known = null;
			if (progress != null) {
				known = ProgressCodec.decode(job, progress.value());
				this.progressLog.loaded(job, progress.revision());
			}
			this.scheduler.load(SubmissionCodec.decode(job, submission.value()), Optional.ofNullable(known));
		}
		catch (DecodeException ex) {
			this.log.append("job-unreadable", job, "error", ex);
		}
	}

	private void turnSoon() {
		if (!this.turnDue && !this.stopped) {
			this.turnDue = true;
			this.loop.after(0, () -> {
				this.turnDue = false;
				turnOnce();
			});
		}
	}

	private void turn() {
		if (!this.stopped) {
			turnOnce();
			this.loop.after(TICK_MILLIS, this::turn);
		}
	}

	private void turnOnce() {
		if (this.stopped || !this.begun) {
			return;
		}
		takeIn();
		this.scheduler.tick();
		this.progressLog.commitIfDue();
		if (this.scheduler.fenced()) {
			this.resign.accept("a VM takes orders from a newer leader");
		}
	}

	private void review() {
		if (!this.stopped) {
			this.scheduler.runPeriodicChecks();
			this.register.store();
			this.loop.after(REVIEW_MILLIS, this::review);
		}
	}

	private void clean() {
		if (this.stopped) {
			return;
		}
		this.loop.after(CLEAN_MILLIS, this::clean);
		List<JobId> old = this.scheduler.endedBefore(this.loop.timeOfDay() - this.keepMillis);
		if (old.isEmpty()) {
			return;
		}
		List<JobId> batch = old.subList(0, Math.min(JOBS_PER_CLEANING, old.size()));
		Commit commit = new Commit().require(Leadership.LEADER_KEY, this.token);
		for (JobId job : batch) {
			commit.delete(JobKeys.submission(job)).delete(JobKeys.cancellation(job)).delete(JobKeys.progress(job));
		}
		this.store.commit(commit, (reply) -> {
			if (reply instanceof StoreReply.Ok<Long>) {
				batch.forEach(this.scheduler::remove);
				batch.forEach(this.progressLog::forget);
				this.log.append("jobs-deleted", this.token, "count", batch.size());
			}
		});
	}

	/**
	 * What the parts of a control process share.
	 *
	 * @param loop the event loop
	 * @param store the store
	 * @param log takes a line for each decision
	 */
	public record Tools(EventLoop loop, MetadataStore store, DecisionLog log) {
	}

	/**
	 * Gathers what is read at the start of the term.
	 */
	private final class Loading {

		private MetadataStore.Page intake;

		private MetadataStore.Page progress;

		private StoredItem workers;

		private StoredItem interference;

		private boolean failed;

		void intakeRead(StoreReply<MetadataStore.Page> reply) {
			if (reply instanceof StoreReply.Ok<MetadataStore.Page> page) {
				this.intake = page.value();
			}
			next(reply);
		}

		void progressRead(StoreReply<MetadataStore.Page> reply) {
			if (reply instanceof StoreReply.Ok<MetadataStore.Page> page) {
				this.progress = page.value();
			}
			next(reply);
		}

		void workersRead(StoreReply<StoredItem> reply) {
			if (reply instanceof StoreReply.Ok<StoredItem> item) {
				this.workers = item.value();
			}
			next(reply);
		}

		void interferenceRead(StoreReply<StoredItem> reply) {
			if (reply instanceof StoreReply.Ok<StoredItem> item) {
				this.interference = item.value();
			}
			next(reply);
		}

		private void next(StoreReply<?> reply) {
			if (Term.this.stopped || this.failed) {
				return;
			}
			if (!(reply instanceof StoreReply.Ok<?>)) {
				this.failed = true;
				Term.this.log.append("term-load-failed", Term.this.token, "reply", reply);
				Term.this.loop.after(RETRY_MILLIS, Term.this::start);
				return;
			}
			if (this.intake != null && this.progress != null && this.workers != null && this.interference != null) {
				begin(this);
			}
		}

	}

	/**
	 * Takes in submissions and cancellations.
	 */
	private final class IntakeListener implements PrefixFollower.Listener {

		@Override
		public void changed(StoredItem item) {
			if (!item.exists()) {
				return;
			}
			JobKeys.idBelow(JobKeys.CANCELLATIONS, item.key()).ifPresent(Term.this::cancelled);
			JobKeys.idBelow(JobKeys.SUBMISSIONS, item.key()).ifPresent((job) -> submit(job, item));
		}

		private void submit(JobId job, StoredItem item) {
			try {
				submitted(SubmissionCodec.decode(job, item.value()));
			}
			catch (DecodeException ex) {
				Term.this.log.append("job-unreadable", job, "error", ex);
			}
		}

	}

}
