package io.lentilstream.control.term;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

import io.lentilstream.control.EventLoop;
import io.lentilstream.control.leadership.Leadership;
import io.lentilstream.control.store.Commit;
import io.lentilstream.control.store.MetadataStore;
import io.lentilstream.control.store.PrefixWatcher;
import io.lentilstream.control.store.RangeReader;
import io.lentilstream.control.store.StoreReply;
import io.lentilstream.control.store.StoredItem;
import io.lentilstream.jobs.DecisionLog;
import io.lentilstream.jobs.JobProgress;
import io.lentilstream.jobs.JobState;
import io.lentilstream.jobs.JobSubmission;
import io.lentilstream.jobs.QueuePolicy;
import io.lentilstream.jobs.codec.DecodeException;
import io.lentilstream.jobs.codec.ProgressCodec;
import io.lentilstream.jobs.codec.SubmissionCodec;
import io.lentilstream.jobs.scheduling.JobScheduler;
import io.lentilstream.jobs.scheduling.LeadershipLease;
import io.lentilstream.jobs.scheduling.Predecessor;
import io.lentilstream.jobs.scheduling.SchedulerSettings;
import io.lentilstream.model.AvailabilityZoneId;
import io.lentilstream.model.JobId;

/**
 * One term of leadership. Loads the stored jobs, then schedules them until it is stopped.
 */
public final class Term {

	/**
	 * Number of run numbers reserved per term for each task, used before they are stored.
	 */
	private static final int RUNS_PER_TERM = 10_000;

	private static final long TICK_INTERVAL_MILLIS = 25;

	private static final long CHECK_INTERVAL_MILLIS = 200;

	private static final long CLEANUP_INTERVAL_MILLIS = 5000;

	/**
	 * The same interval while more jobs are to be deleted than one commit can delete, in
	 * milliseconds. Leaves most of the calls that the store allows to others.
	 */
	private static final long BACKLOG_CLEANUP_INTERVAL_MILLIS = 100;

	private static final long RETRY_DELAY_MILLIS = 200;

	/** Maximum number of jobs deleted in one commit; each has three items. */
	private static final int JOBS_PER_CLEANUP = 10;

	private static final PrefixWatcher.WatchOptions INTAKE_OPTIONS = new PrefixWatcher.WatchOptions(1000, 200,
			PrefixWatcher.CatchUp.ADDED_ITEMS);

	private static final PrefixWatcher.WatchOptions WORKER_LIST_OPTIONS = new PrefixWatcher.WatchOptions(1000, 250,
			PrefixWatcher.CatchUp.CHANGES);

	private final EventLoop loop;

	private final MetadataStore store;

	private final DecisionLog log;

	private final WorkerPlatform platform;

	private final long retentionMillis;

	private final WorkerPlatform.CommandClient commandClient;

	private final JobScheduler scheduler;

	private final ProgressWriter progressWriter;

	private final WorkerRegistry registry;

	private final CarriedKnowledgeStore knowledge;

	private final PrefixWatcher intake;

	private final PrefixWatcher workerList;

	private final Consumer<String> resign;

	private final SubmissionGate submissionGate;

	private final BooleanSupplier leaseHeld;

	private final long fencingToken;

	private final long startedAt;

	private final Predecessor predecessor;

	private Map<String, QueuePolicy> policies = Map.of();

	private Set<AvailabilityZoneId> evacuatedZones = Set.of();

	private final EarlyCancellations earlyCancellations;

	private final JobReservations reservations = new JobReservations();

	private int failedReads;

	private boolean loaded;

	private boolean stopped;

	private boolean tickDue;

	/**
	 * Creates a term that has not started.
	 * @param dependencies the event loop, the store and the log
	 * @param leaderTerm the number, fencing token and lease of the term
	 * @param platform lists VMs and sends them commands
	 * @param settings the platform's limits
	 * @param retentionMillis how long ended jobs are kept, in milliseconds
	 * @param resign resigns from leadership; takes the reason
	 * @param leaseHeld returns whether the leader's lease has certainly not expired
	 * @param storeStableSince returns since when the store has replied to all calls, on
	 * the steady clock in milliseconds
	 */
	public Term(Dependencies dependencies, Leadership.LeaderTerm leaderTerm, WorkerPlatform platform,
			SchedulerSettings settings, long retentionMillis, Consumer<String> resign, BooleanSupplier leaseHeld,
			LongSupplier storeStableSince) {
		this.submissionGate = new SubmissionGate(leaseHeld);
		this.leaseHeld = leaseHeld;
		this.loop = dependencies.loop();
		this.store = dependencies.store();
		this.log = dependencies.log();
		this.platform = platform;
		this.retentionMillis = retentionMillis;
		this.earlyCancellations = new EarlyCancellations(retentionMillis);
		this.resign = resign;
		this.fencingToken = leaderTerm.fencingToken();
		this.startedAt = this.loop.now();
		this.predecessor = new Predecessor(this.startedAt, leaderTerm.predecessorLeaseExpired());
		FencingTokens tokens = new FencingTokens(this.fencingToken);
		this.commandClient = platform.commandClient(tokens::tokenFor);
		this.scheduler = new JobScheduler(settings, new ResultNotifyingCommands(this.commandClient, this::tickSoon),
				this.log, this.loop::now, this.loop::wallClockMillis,
				new LeadershipLease(leaderTerm.number() * RUNS_PER_TERM, leaderTerm.leaseValidUntil(), tokens::raise));
		Runnable onSuperseded = () -> resign.accept("superseded by another leader in the store");
		this.progressWriter = new ProgressWriter(this.loop, this.store, this.scheduler, tokens, onSuperseded,
				this::tickSoon);
		this.registry = new WorkerRegistry(this.loop, this.store, this.scheduler, leaderTerm.number(), tokens,
				onSuperseded);
		this.knowledge = new CarriedKnowledgeStore(dependencies, this.fencingToken, this.scheduler.carriedKnowledge());
		this.intake = new PrefixWatcher(this.loop, this.store, this.log, JobKeys.INTAKE, INTAKE_OPTIONS,
				new IntakeListener());
		this.workerList = new PrefixWatcher(this.loop, this.store, this.log, platform.workerListPrefix(),
				WORKER_LIST_OPTIONS,
				new WorkerListListener(dependencies, platform, this.registry,
						new WorkerListListener.StoreStability(storeStableSince, settings.unlistedAfterMillis()),
						this::tickSoon));
	}

	/**
	 * Starts loading the stored jobs. Each read is retried until it succeeds or the term
	 * ends. No other process can change what this one has already read, apart from adding
	 * to the intake, which is watched from the first read on.
	 */
	public void start() {
		InitialState initialState = new InitialState();
		loadRange(JobKeys.INTAKE, initialState::intakePageRead, initialState::intakeRead);
		loadRange(JobKeys.PROGRESS, initialState::progressPageRead, (revision) -> initialState.progressRead());
		loadWorkers(initialState);
		this.knowledge.read(initialState::knowledgeRead);
	}

	private void loadRange(String prefix, RangeReader.PageConsumer pageConsumer, LongConsumer completed) {
		RangeReader.readPages(this.store, prefix, (reply, retry) -> loadFailed(prefix, reply, retry), pageConsumer,
				completed);
	}

	private void loadWorkers(InitialState initialState) {
		this.store.read(JobKeys.WORKERS, (reply) -> {
			if (reply instanceof StoreReply.Ok<StoredItem> item) {
				initialState.workersRead(item.value());
			}
			else {
				loadFailed(JobKeys.WORKERS, reply, () -> loadWorkers(initialState));
			}
		});
	}

	private void loadFailed(String read, StoreReply<?> reply, Runnable retry) {
		if (this.stopped) {
			return;
		}
		this.failedReads++;
		this.log.append("term-load-failed", this.fencingToken, "read", read, "failed-reads", this.failedReads,
				"after-ms", this.loop.now() - this.startedAt, "reply", reply);
		this.loop.schedule(RETRY_DELAY_MILLIS, () -> {
			if (!this.stopped) {
				retry.run();
			}
		});
	}

	/**
	 * Only extends the leases of running tasks from now on, since a successor is about to
	 * take over.
	 */
	public void holdOnly() {
		this.scheduler.holdOnly();
	}

	/**
	 * Stops scheduling and closes the connections to VMs.
	 */
	public void stop() {
		this.stopped = true;
		this.intake.stop();
		this.workerList.stop();
		this.progressWriter.stop();
		this.registry.stop();
		this.knowledge.stop();
		this.commandClient.close();
	}

	/**
	 * Adds a stored job. Ignored before the stored jobs are loaded.
	 * @param submission the job
	 */
	public void jobSubmitted(JobSubmission submission) {
		if (!this.loaded || this.stopped) {
			return;
		}
		this.reservations.remove(submission.id());
		this.submissionGate.add(submission);
		submitReleased();
		tickSoon();
	}

	private void submitReleased() {
		for (JobSubmission submission : this.submissionGate.release()) {
			QueuePolicy policy = this.policies.get(submission.queue());
			this.scheduler.submit((policy != null) ? withPolicy(submission, policy) : submission);
			if (this.earlyCancellations.remove(submission.id())) {
				this.scheduler.cancel(submission.id());
			}
		}
	}

	/**
	 * Tells whether the stored jobs are loaded.
	 * @return {@code false} if it is not known yet how much memory they take
	 */
	public boolean begun() {
		return this.loaded && !this.stopped;
	}

	/**
	 * Returns the memory that further jobs may take, that of reservations included.
	 * @return the number of bytes; 0 if there is none or the jobs are not loaded
	 */
	public long freeJobBytes() {
		return begun() ? this.scheduler.freeBytes() : 0;
	}

	/**
	 * Reserves room for a job that is about to be stored. Half of the free memory is
	 * never reserved, since it has been shared out.
	 * @param job the job
	 * @param bytes its cost in bytes
	 * @return {@code false} if there is no room
	 */
	public boolean reserve(JobId job, long bytes) {
		if (this.reservations.contains(job)) {
			return true;
		}
		if (bytes < 0 || this.reservations.bytes(this.loop.now()) > freeJobBytes() / 2 - bytes) {
			return false;
		}
		this.reservations.add(job, bytes, this.loop.now());
		return true;
	}

	/**
	 * Cancels a job whose cancellation is stored. Ignored before the stored jobs are
	 * loaded; applied on submission if the job is not known yet.
	 * @param job the job
	 */
	public void jobCancelled(JobId job) {
		if (!this.loaded || this.stopped) {
			return;
		}
		if (this.scheduler.state(job).isEmpty()) {
			this.earlyCancellations.add(job, this.loop.now());
		}
		this.scheduler.cancel(job);
		tickSoon();
	}

	/**
	 * Tells whether the cancellation of a job may be acknowledged, since its tasks stop
	 * in time even if this process is lost at once.
	 * @param job the job, for which {@link #jobCancelled} was called
	 * @return {@code false} if this process cannot guarantee that yet
	 */
	public boolean cancellationGuaranteed(JobId job) {
		return this.loaded && !this.stopped && leaseHeld() && this.scheduler.stopGuaranteed(job);
	}

	/**
	 * Replaces the policies of all queues.
	 * @param latest the policies by queue name
	 */
	public void updatePolicies(Map<String, QueuePolicy> latest) {
		this.policies = latest;
		if (this.loaded) {
			this.scheduler.updatePolicies(latest);
		}
	}

	/**
	 * Replaces the availability zones in which no tasks may be started.
	 * @param zones the zones that operators evacuate
	 */
	public void updateEvacuations(Set<AvailabilityZoneId> zones) {
		this.evacuatedZones = zones;
		if (this.loaded) {
			this.scheduler.updateEvacuations(zones);
		}
	}

	/**
	 * Returns the state of a job that may be reported to callers.
	 * @param job the job
	 * @return the state, or empty if it is unknown
	 */
	public Optional<JobState> state(JobId job) {
		return this.loaded ? this.scheduler.state(job) : Optional.empty();
	}

	/**
	 * Returns whether it is certain that no other process has been elected.
	 * @return {@code false} if the lease may have expired
	 */
	public boolean leaseHeld() {
		return this.leaseHeld.getAsBoolean();
	}

	/**
	 * Counts the jobs of a queue that have no started task.
	 * @param queue the name of the queue
	 * @return the number, or empty before the stored jobs are loaded
	 */
	public Optional<Integer> queuedJobs(String queue) {
		return this.loaded ? Optional.of(this.scheduler.queuedJobs(queue)) : Optional.empty();
	}

	private static JobSubmission withPolicy(JobSubmission submission, QueuePolicy policy) {
		return new JobSubmission(submission.id(), submission.queue(), policy, submission.payload(), submission.steps(),
				submission.schedule(), submission.acceptedAtMillis());
	}

	private void startScheduling(InitialState initialState) {
		RegisteredWorkers registered = initialState.workers.exists()
				? RegisteredWorkers.decode(initialState.workers.value(),
						(ex) -> this.log.append("workers-unreadable", JobKeys.WORKERS, "error", ex))
				: RegisteredWorkers.NONE;
		this.registry.initialize(initialState.workers, registered);
		this.knowledge.restore();
		this.loaded = true;
		this.scheduler.updatePolicies(this.policies);
		if (!this.evacuatedZones.isEmpty()) {
			this.scheduler.updateEvacuations(this.evacuatedZones);
		}
		initialState.cancelled.forEach(this::jobCancelled);
		this.log.append("term-begun", this.fencingToken, "jobs", initialState.jobs, "ended", initialState.ended.size(),
				"workers", registered.workers().size(), "leases-left-to-expire", registered.expiringLeases().size(),
				"predecessor-lease-expired", this.predecessor.leaseExpired(), "failed-reads", this.failedReads,
				"after-ms", this.loop.now() - this.startedAt);
		this.scheduler.start(registered.workers(), this.predecessor);
		this.intake.startAfter(initialState.intakeRevision);
		this.workerList.start();
		tickPeriodically();
		checkPeriodically();
		deleteEndedJobs();
		this.knowledge.storePeriodically();
	}

	private void tickSoon() {
		if (!this.tickDue && !this.stopped) {
			this.tickDue = true;
			this.loop.schedule(0, () -> {
				this.tickDue = false;
				runTick();
			});
		}
	}

	private void tickPeriodically() {
		if (!this.stopped) {
			runTick();
			this.loop.schedule(TICK_INTERVAL_MILLIS, this::tickPeriodically);
		}
	}

	private void runTick() {
		if (this.stopped || !this.loaded) {
			return;
		}
		submitReleased();
		this.scheduler.tick();
		this.progressWriter.commitIfDue();
		if (this.scheduler.fenced()) {
			this.resign.accept("a VM accepts commands from a newer leader");
		}
	}

	private void checkPeriodically() {
		if (!this.stopped) {
			this.scheduler.runPeriodicChecks();
			this.registry.store();
			this.loop.schedule(CHECK_INTERVAL_MILLIS, this::checkPeriodically);
		}
	}

	private void deleteEndedJobs() {
		if (this.stopped) {
			return;
		}
		deleteEarlyCancellations();
		List<JobId> endedJobs = this.scheduler.endedBefore(this.loop.wallClockMillis() - this.retentionMillis,
				JOBS_PER_CLEANUP + 1);
		if (endedJobs.isEmpty()) {
			this.loop.schedule(CLEANUP_INTERVAL_MILLIS, this::deleteEndedJobs);
			return;
		}
		List<JobId> batch = endedJobs.subList(0, Math.min(JOBS_PER_CLEANUP, endedJobs.size()));
		Commit commit = new Commit().require(Leadership.LEADER_KEY, this.fencingToken);
		for (JobId job : batch) {
			commit.delete(JobKeys.submission(job)).delete(JobKeys.cancellation(job)).delete(JobKeys.progress(job));
		}
		this.store.commit(commit, (reply) -> {
			boolean deleted = reply instanceof StoreReply.Ok<Long>;
			if (deleted) {
				batch.forEach(this.scheduler::remove);
				batch.forEach(this.progressWriter::removeRevision);
				this.log.append("jobs-deleted", this.fencingToken, "count", batch.size());
			}
			boolean backlog = deleted && endedJobs.size() > batch.size();
			this.loop.schedule(backlog ? BACKLOG_CLEANUP_INTERVAL_MILLIS : CLEANUP_INTERVAL_MILLIS,
					this::deleteEndedJobs);
		});
	}

	private void deleteEarlyCancellations() {
		List<JobId> expired = this.earlyCancellations.expired(this.loop.now(), JOBS_PER_CLEANUP);
		if (expired.isEmpty()) {
			return;
		}
		Commit commit = new Commit().require(Leadership.LEADER_KEY, this.fencingToken);
		for (JobId job : expired) {
			commit.require(JobKeys.submission(job), 0).delete(JobKeys.cancellation(job));
		}
		this.store.commit(commit, (reply) -> {
			if (reply instanceof StoreReply.Ok<Long>) {
				expired.forEach(this.earlyCancellations::remove);
				this.log.append("cancellations-deleted", this.fencingToken, "count", expired.size());
			}
			else if (reply instanceof StoreReply.Conflict<Long> conflict) {
				conflict.items()
					.stream()
					.filter(StoredItem::exists)
					.forEach((item) -> JobKeys.parseJobId(JobKeys.SUBMISSIONS, item.key())
						.ifPresent((job) -> this.earlyCancellations.keepLonger(job, this.loop.now())));
			}
		});
	}

	/**
	 * The dependencies shared by the parts of a control process.
	 *
	 * @param loop the event loop
	 * @param store the store
	 * @param log receives a line for each decision
	 */
	public record Dependencies(EventLoop loop, MetadataStore store, DecisionLog log) {
	}

	/**
	 * Collects the items that are read at the start of the term.
	 */
	private final class InitialState {

		/** The progress of the jobs that have not ended. */
		private final Map<JobId, JobProgress> progress = new HashMap<>();

		/** The jobs that have ended, or whose progress cannot be read. */
		private final Set<JobId> ended = new HashSet<>();

		private final Set<JobId> cancelled = new HashSet<>();

		private int jobs;

		private boolean progressRead;

		private Runnable deferredIntakePage;

		private long intakeRevision = -1;

		private StoredItem workers;

		private boolean knowledgeRead;

		// A submission is decoded only if its job has not ended.
		void intakePageRead(List<StoredItem> items, Runnable next) {
			if (Term.this.stopped) {
				return;
			}
			if (!this.progressRead) {
				this.deferredIntakePage = () -> intakePageRead(items, next);
				return;
			}
			for (StoredItem item : items) {
				JobKeys.parseJobId(JobKeys.CANCELLATIONS, item.key())
					.filter((job) -> !this.ended.contains(job))
					.ifPresent(this.cancelled::add);
				JobKeys.parseJobId(JobKeys.SUBMISSIONS, item.key()).ifPresent((job) -> load(job, item));
			}
			next.run();
		}

		private void load(JobId job, StoredItem submission) {
			this.jobs++;
			if (SubmissionTombstone.isTombstone(submission) || this.ended.contains(job)) {
				return;
			}
			try {
				Term.this.scheduler.load(SubmissionCodec.decode(job, submission.value()),
						Optional.ofNullable(this.progress.remove(job)));
			}
			catch (DecodeException ex) {
				Term.this.log.append("job-unreadable", job, "error", ex);
			}
		}

		void intakeRead(long revision) {
			this.intakeRevision = revision;
			startIfComplete();
		}

		void progressPageRead(List<StoredItem> items, Runnable next) {
			if (Term.this.stopped) {
				return;
			}
			for (StoredItem item : items) {
				JobKeys.parseJobId(JobKeys.PROGRESS, item.key()).ifPresent((job) -> restore(job, item));
			}
			next.run();
		}

		private void restore(JobId job, StoredItem item) {
			try {
				JobProgress stored = ProgressCodec.decode(job, item.value());
				if (stored.state().ended()) {
					this.ended.add(job);
					Term.this.scheduler.loadEnded(job, stored.state(), stored.endedAtMillis());
					return;
				}
				this.progress.put(job, stored);
				Term.this.progressWriter.setRevision(job, item.revision());
			}
			catch (DecodeException ex) {
				this.ended.add(job);
				Term.this.log.append("job-unreadable", job, "error", ex);
			}
		}

		void progressRead() {
			this.progressRead = true;
			if (this.deferredIntakePage != null) {
				this.deferredIntakePage.run();
			}
			startIfComplete();
		}

		void workersRead(StoredItem item) {
			this.workers = item;
			startIfComplete();
		}

		void knowledgeRead() {
			this.knowledgeRead = true;
			startIfComplete();
		}

		private void startIfComplete() {
			if (Term.this.stopped) {
				return;
			}
			if (this.intakeRevision >= 0 && this.progressRead && this.workers != null && this.knowledgeRead) {
				startScheduling(this);
			}
		}

	}

	/**
	 * Handles new submissions and cancellations in the store.
	 */
	private final class IntakeListener implements PrefixWatcher.Listener {

		@Override
		public void itemChanged(StoredItem item) {
			if (!item.exists()) {
				return;
			}
			JobKeys.parseJobId(JobKeys.CANCELLATIONS, item.key()).ifPresent(Term.this::jobCancelled);
			JobKeys.parseJobId(JobKeys.SUBMISSIONS, item.key()).ifPresent((job) -> submit(job, item));
		}

		private void submit(JobId job, StoredItem item) {
			if (SubmissionTombstone.isTombstone(item)) {
				return;
			}
			try {
				jobSubmitted(SubmissionCodec.decode(job, item.value()));
			}
			catch (DecodeException ex) {
				Term.this.log.append("job-unreadable", job, "error", ex);
			}
		}

	}

}
