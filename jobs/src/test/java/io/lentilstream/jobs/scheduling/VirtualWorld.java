package io.lentilstream.jobs.scheduling;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.ToDoubleBiFunction;

import io.lentilstream.jobs.CommandResult;
import io.lentilstream.jobs.JobProgress;
import io.lentilstream.jobs.JobState;
import io.lentilstream.jobs.JobSubmission;
import io.lentilstream.jobs.QueuePolicy;
import io.lentilstream.jobs.RunOutcome;
import io.lentilstream.jobs.StepSpec;
import io.lentilstream.jobs.TaskName;
import io.lentilstream.jobs.TaskReport;
import io.lentilstream.jobs.WorkerCommands;
import io.lentilstream.jobs.WorkerId;
import io.lentilstream.jobs.WorkerListing;
import io.lentilstream.jobs.carryover.CarriedKnowledge;
import io.lentilstream.jobs.codec.DecodeException;
import io.lentilstream.jobs.codec.ProgressCodec;
import io.lentilstream.model.JobId;
import io.lentilstream.model.Resources;

/**
 * A simulation of VMs, stored jobs and a scheduler in virtual time. The invariants of
 * runs are checked whenever a run starts.
 */
final class VirtualWorld {

	/** The lease of a leader in the store, in milliseconds. */
	private static final long LEADER_LEASE_MILLIS = 2000;

	private static final long TOKENS_PER_TERM = 1000;

	static final SchedulerSettings SETTINGS = new SchedulerSettings(6000, 3, 4000, 4000, 3000, Set.of());

	final VirtualClock clock = new VirtualClock();

	final Random random;

	final Map<String, VirtualWorker> workers = new LinkedHashMap<>();

	final Set<JobId> alwaysFails = new HashSet<>();

	final List<String> violations = new ArrayList<>();

	/** The violations that no scheduler could have prevented. */
	final List<String> unpreventable = new ArrayList<>();

	final List<String> log = new ArrayList<>();

	/** The stored jobs that a successor cannot read. */
	final Set<JobId> unreadable = new HashSet<>();

	long progressTicks;

	/** The number of failed runs. */
	int failures;

	/** The share of commands whose result is lost. */
	double unanswered;

	/** The share of the commands without a result that are carried out seconds later. */
	double delayed;

	/**
	 * Whether a restarted VM carries out commands that were sent to its earlier
	 * incarnations, while it was down or delayed.
	 */
	boolean keepsCommands;

	/** The tail latency that a VM reports for a serving task, in milliseconds. */
	ToDoubleBiFunction<VirtualWorker, TaskName> tailModel = (worker, task) -> worker.tail;

	/** Whether the store accepts changes. */
	boolean storeUp = true;

	/**
	 * The tasks that crash their VM, and how long after their start, in milliseconds.
	 */
	final Map<TaskName, Long> deadly = new HashMap<>();

	/**
	 * After how long the next runs of a task fail, in milliseconds, in the order of their
	 * starts.
	 */
	final Map<TaskName, Deque<Long>> failing = new HashMap<>();

	/** The number of VMs that have crashed under a task. */
	final Map<TaskName, Integer> crashesUnder = new HashMap<>();

	/** Whether a crashed VM keeps its id when it is back. */
	boolean keepsIds;

	/** How long a crashed VM is down, in milliseconds. */
	long downMillis = 3300;

	private final Map<TaskName, Integer> startsAfterThirdCrash = new HashMap<>();

	private final Map<JobId, JobSubmission> submissions = new LinkedHashMap<>();

	private final Map<JobId, byte[]> progress = new HashMap<>();

	private Map<WorkerId, Long> storedLeases = Map.of();

	/** The scheduler that stored the leases. */
	private JobScheduler storedLeasesBy;

	/**
	 * Whether the next schedulers are of a version that neither stores nor restores
	 * leases.
	 */
	boolean earlierVersion;

	private final Set<JobId> cancelled = new HashSet<>();

	private final Map<TaskName, Set<String>> runningOn = new HashMap<>();

	private final Set<TaskName> completed = new HashSet<>();

	private final Set<TaskName> acknowledgedDone = new HashSet<>();

	/** When the last run of each task started, in milliseconds. */
	private final Map<TaskName, Long> lastStarts = new HashMap<>();

	/** The tasks whose last start no scheduler could have prevented. */
	private final Set<TaskName> startedUnpreventably = new HashSet<>();

	private final Map<TaskName, Long> durations = new HashMap<>();

	private int term = -1;

	/** The optional features of the next scheduler. */
	Set<SchedulerFeature> features = Set.of();

	/** The limits of the VMs and of the next scheduler. */
	SchedulerSettings settings = SETTINGS;

	/** Until when the next scheduler is the leader, in milliseconds. */
	long leaderUntil = Long.MAX_VALUE / 2;

	/** Until when a replaced scheduler still receives results, in milliseconds. */
	long predecessorUntil;

	/** When the last leader was lost, in milliseconds; negative if it was not. */
	private long leaderLostAt = -1;

	JobScheduler scheduler;

	VirtualWorld(long seed) {
		this.random = new Random(seed);
	}

	VirtualWorker addWorker(String id) {
		return addWorker(id, new InetSocketAddress("127.0.0.1", 1 + this.workers.size()));
	}

	private VirtualWorker addWorker(String id, InetSocketAddress address) {
		VirtualWorker worker = new VirtualWorker(this, id, address);
		this.workers.put(id, worker);
		if (this.scheduler != null) {
			this.scheduler.workerListed(worker.listing());
		}
		return worker;
	}

	/**
	 * Crashes a VM, which is back later: under its id, or under a new one at its address.
	 */
	void crashAndReturn(VirtualWorker worker) {
		crashAndReturn(worker, true);
	}

	/**
	 * Crashes a VM, which is back later.
	 * @param worker the VM
	 * @param dark whether the whole VM is down, so that connections are not refused
	 */
	void crashAndReturn(VirtualWorker worker, boolean dark) {
		worker.dark = dark;
		worker.running.keySet().forEach((task) -> this.crashesUnder.merge(task, 1, Integer::sum));
		worker.crash();
		this.clock.schedule(4100, () -> unlistIfDown(worker));
		this.clock.schedule(this.downMillis, () -> {
			if (this.keepsIds) {
				worker.restart();
				this.scheduler.workerListed(worker.listing());
			}
			else {
				addWorker(worker.id + "+", worker.address);
			}
		});
	}

	int mostCrashesUnder(JobSubmission job) {
		return this.crashesUnder.entrySet()
			.stream()
			.filter((entry) -> entry.getKey().job().equals(job.id()))
			.mapToInt(Map.Entry::getValue)
			.max()
			.orElse(0);
	}

	private void unlistIfDown(VirtualWorker worker) {
		if (!worker.up) {
			worker.listed = false;
			this.scheduler.workerUnlisted(worker.listing().id(), true);
		}
	}

	/**
	 * Replaces the current scheduler abruptly by a successor.
	 */
	void takeOver() {
		this.term++;
		int schedulerTerm = this.term;
		VirtualCommands commands = new VirtualCommands(schedulerTerm);
		JobScheduler next = new JobScheduler(settings(), commands, this::logDecision, this.clock::now, this.clock::now,
				leadershipLease(schedulerTerm, commands::raise));
		JobScheduler predecessor = this.scheduler;
		this.scheduler = next;
		for (JobSubmission submission : this.submissions.values()) {
			if (!this.unreadable.contains(submission.id())) {
				next.load(submission, stored(submission.id()));
			}
		}
		this.cancelled.forEach(next::cancel);
		handOver(predecessor, next);
		if (this.storedLeasesBy == predecessor && !this.earlierVersion) {
			next.restoreExpiringLeases(this.storedLeases);
		}
		boolean leaseExpired = this.leaderLostAt >= 0 && this.clock.now() - this.leaderLostAt >= LEADER_LEASE_MILLIS;
		this.leaderLostAt = -1;
		next.start(this.workers.values().stream().map(VirtualWorker::listing).toList(),
				new Predecessor(this.clock.now(), leaseExpired));
		this.workers.values()
			.stream()
			.filter((worker) -> worker.listed)
			.forEach((worker) -> next.workerListed(worker.listing()));
		tickPeriodically(schedulerTerm);
		checkPeriodically(schedulerTerm);
	}

	private SchedulerSettings settings() {
		return new SchedulerSettings(this.settings.maxLeaseMillis(), this.settings.remoteFactor(),
				this.settings.maxOverTargetMillis(), this.settings.predecessorLeadershipMillis(),
				this.settings.unlistedAfterMillis(), this.features, this.settings.maxJobBytes());
	}

	private LeadershipLease leadershipLease(int schedulerTerm, CommandFence fence) {
		long until = this.leaderUntil;
		return new LeadershipLease(schedulerTerm * 64, () -> until, fence);
	}

	private void handOver(JobScheduler predecessor, JobScheduler successor) {
		if (predecessor == null) {
			return;
		}
		Map<String, byte[]> snapshots = new HashMap<>();
		predecessor.carriedKnowledge().forEach((kind) -> snapshots.put(kind.name(), kind.snapshot()));
		for (CarriedKnowledge kind : successor.carriedKnowledge()) {
			byte[] snapshot = snapshots.get(kind.name());
			try {
				if (snapshot.length > 0) {
					kind.restore(snapshot, 0);
				}
			}
			catch (DecodeException ex) {
				throw new IllegalStateException(ex);
			}
		}
	}

	long overTargetSince(String worker) {
		return this.scheduler.state.workers.get(new WorkerId(worker)).overTargetSince;
	}

	int completedTasks() {
		return this.completed.size();
	}

	/**
	 * Loses the leader. A successor has to take over later.
	 */
	void loseLeader() {
		this.leaderLostAt = this.clock.now();
		this.term++;
	}

	void toggleStore() {
		this.storeUp = !this.storeUp;
	}

	private void logDecision(String decision, Object subject, Object... inputs) {
		this.log.add(this.clock.now() + " " + decision + " " + subject + " " + List.of(inputs));
	}

	private Optional<JobProgress> stored(JobId job) {
		byte[] bytes = this.progress.get(job);
		try {
			return (bytes != null) ? Optional.of(ProgressCodec.decode(job, bytes)) : Optional.empty();
		}
		catch (DecodeException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private void tickPeriodically(int schedulerTerm) {
		if (schedulerTerm != this.term) {
			return;
		}
		this.scheduler.tick();
		if (this.storeUp) {
			storeExpiringLeases();
			for (JobScheduler.Change change : this.scheduler.pollChanges(15)) {
				this.progress.put(change.progress().job(), ProgressCodec.encode(change.progress()));
				this.scheduler.changeStored(change);
			}
		}
		this.clock.schedule(20, () -> tickPeriodically(schedulerTerm));
	}

	private void storeExpiringLeases() {
		if (!this.earlierVersion && this.scheduler.expiringLeasesDue()) {
			this.storedLeasesBy = this.scheduler;
			this.storedLeases = this.scheduler.recordExpiringLeases();
			this.scheduler.expiringLeasesStored(this.storedLeases);
		}
	}

	private void checkPeriodically(int schedulerTerm) {
		if (schedulerTerm == this.term) {
			this.scheduler.runPeriodicChecks();
			this.clock.schedule(200, () -> checkPeriodically(schedulerTerm));
		}
	}

	JobSubmission submit(String id, int priority, StepSpec... steps) {
		return submit(id, new QueuePolicy(VirtualWorker.SERVICE, priority, 3, 2, 500), steps);
	}

	JobSubmission submit(String id, QueuePolicy policy, StepSpec... steps) {
		return submitTo("q" + policy.priority(), id, policy, steps);
	}

	JobSubmission submitTo(String queue, String id, QueuePolicy policy, StepSpec... steps) {
		JobSubmission submission = new JobSubmission(new JobId(id), queue, policy, "payload", List.of(steps),
				JobSubmission.Schedule.ONCE, this.clock.now());
		this.submissions.put(submission.id(), submission);
		this.scheduler.submit(submission);
		return submission;
	}

	JobSubmission submitRepeating(String id, JobSubmission.Schedule schedule, StepSpec... steps) {
		JobSubmission submission = new JobSubmission(new JobId(id), "q0",
				new QueuePolicy(VirtualWorker.SERVICE, 0, 3, 2, 500), "payload", List.of(steps), schedule,
				this.clock.now());
		this.submissions.put(submission.id(), submission);
		this.scheduler.submit(submission);
		return submission;
	}

	void cancel(JobId job) {
		this.cancelled.add(job);
		this.scheduler.cancel(job);
	}

	JobState state(JobSubmission submission) {
		return this.scheduler.state(submission.id()).orElseThrow();
	}

	static StepSpec step(int count, long milliCores, long estimate, Integer... after) {
		return new StepSpec(count, new Resources(milliCores, 100, 0), estimate, List.of(after), StepSpec.Traits.NONE,
				StepSpec.Placement.ANYWHERE, "", 0, -1);
	}

	static StepSpec withTraits(StepSpec step, StepSpec.Traits traits) {
		return new StepSpec(step.count(), step.size(), step.estimateMillis(), step.dependsOn(), traits,
				step.placement(), step.image(), step.targetMillis(), step.maxUnavailable());
	}

	static StepSpec withImage(StepSpec step, String image, double targetMillis) {
		return new StepSpec(step.count(), step.size(), step.estimateMillis(), step.dependsOn(), step.traits(),
				step.placement(), image, targetMillis, step.maxUnavailable());
	}

	StepSpec specOf(TaskName task) {
		return this.submissions.get(task.job()).steps().get(task.step());
	}

	void setDuration(TaskName task, long millis) {
		this.durations.put(task, millis);
	}

	void failRuns(JobSubmission job, int step, int index, Long... afterMillis) {
		this.failing.put(new TaskName(job.id(), 0, step, index), new ArrayDeque<>(List.of(afterMillis)));
	}

	long durationOf(TaskName task) {
		Long known = this.durations.get(task);
		if (known != null) {
			return known;
		}
		StepSpec step = this.submissions.get(task.job()).steps().get(task.step());
		return step.traits().longRunning() ? Long.MAX_VALUE : step.estimateMillis();
	}

	void recordStart(VirtualWorker worker, WorkerCommands.StartCommand command) {
		TaskName task = command.task();
		JobSubmission submission = this.submissions.get(task.job());
		StepSpec step = submission.steps().get(task.step());
		if (this.crashesUnder.getOrDefault(task, 0) >= 3
				&& this.startsAfterThirdCrash.merge(task, 1, Integer::sum) >= 3) {
			recordViolation("third start of " + task + " after three VMs had crashed under it");
		}
		Set<String> workerIds = this.runningOn.computeIfAbsent(task, (name) -> new HashSet<>());
		List<String> found = worker.startUnpreventable() ? this.unpreventable : this.violations;
		if (!workerIds.isEmpty() && !step.traits().speculative()) {
			found.add(this.clock.now() + " two runs of " + task + " on " + workerIds + " and " + worker.id);
		}
		if (this.acknowledgedDone.contains(task) && !step.traits().speculative()) {
			found.add(this.clock.now() + " start of " + task + " after its acknowledged end");
		}
		for (int dependency : step.dependsOn()) {
			for (int index = 0; index < submission.steps().get(dependency).count(); index++) {
				if (!this.completed.contains(new TaskName(task.job(), task.occurrence(), dependency, index))) {
					recordViolation("start of " + task + " before step " + dependency + " is done");
				}
			}
		}
		workerIds.add(worker.id);
		this.lastStarts.put(task, this.clock.now());
		this.startedUnpreventably.remove(task);
		if (worker.startUnpreventable()) {
			this.startedUnpreventably.add(task);
		}
		Resources used = Resources.NONE;
		for (TaskName running : worker.running.keySet()) {
			StepSpec spec = this.submissions.get(running.job()).steps().get(running.step());
			used = used.plus(spec.reserved());
		}
		if (!used.fitsWithin(worker.limit())) {
			recordViolation("VM " + worker.id + " over its capacity: " + used);
		}
	}

	void recordStop(VirtualWorker worker, TaskName task) {
		this.runningOn.getOrDefault(task, Set.of()).remove(worker.id);
	}

	void recordDone(TaskName task) {
		this.completed.add(task);
		StepSpec step = this.submissions.get(task.job()).steps().get(task.step());
		// The successful end of one member of a gang counts for all members.
		for (int index = 0; step.traits().gang() && index < step.count(); index++) {
			this.completed.add(new TaskName(task.job(), task.occurrence(), task.step(), index));
		}
	}

	/**
	 * Records that a scheduler had a VM forget an end. An end that became known only
	 * after the VM's lease had lapsed proves nothing.
	 * @param end the end
	 * @param endedAt when the run ended, in milliseconds
	 * @param lapsedSince whether the lease of the VM has lapsed since then
	 */
	void recordAcknowledged(TaskReport.Ended end, long endedAt, boolean lapsedSince) {
		if (end.outcome() != RunOutcome.DONE) {
			return;
		}
		this.acknowledgedDone.add(end.task());
		if (!lapsedSince && this.lastStarts.get(end.task()) > endedAt && !specOf(end.task()).traits().speculative()) {
			List<String> found = this.startedUnpreventably.contains(end.task()) ? this.unpreventable : this.violations;
			found.add(this.clock.now() + " start of " + end.task() + " at " + this.lastStarts.get(end.task())
					+ " after its end at " + endedAt + ", acknowledged now");
		}
	}

	private void recordViolation(String text) {
		this.violations.add(this.clock.now() + " " + text);
	}

	/**
	 * Delivers the commands of one scheduler to VMs and returns the results.
	 */
	private final class VirtualCommands implements WorkerCommands {

		private final int schedulerTerm;

		/** How often the fencing token was raised for each VM. */
		private final Map<WorkerId, Integer> raised = new HashMap<>();

		VirtualCommands(int schedulerTerm) {
			this.schedulerTerm = schedulerTerm;
		}

		private boolean raise(WorkerId worker) {
			this.raised.merge(worker, 1, Integer::sum);
			return true;
		}

		private long token(WorkerListing worker) {
			return TOKENS_PER_TERM * (this.schedulerTerm + 1L) + this.raised.getOrDefault(worker.id(), 0);
		}

		@Override
		public void start(WorkerListing worker, StartCommand command, Consumer<CommandResult> callback) {
			long token = token(worker);
			send(worker, (target) -> target.start(token, command), new CommandResult.Unknown(), callback, 300);
		}

		@Override
		public void stop(WorkerListing worker, TaskName task, int run, Consumer<CommandResult> callback) {
			long token = token(worker);
			send(worker, (target) -> target.stop(token, task, run), new CommandResult.Unknown(), callback, 300);
		}

		@Override
		public void setSpeed(WorkerListing worker, TaskName task, int run, int percent,
				Consumer<CommandResult> callback) {
			long token = token(worker);
			send(worker, (target) -> target.setSpeed(token, task, percent), new CommandResult.Unknown(), callback, 300);
		}

		@Override
		public void requestReport(WorkerListing worker, ReportRequest request, Consumer<ReportResult> callback) {
			long token = token(worker);
			send(worker, (target) -> target.report(token, request),
					(ReportResult) new ReportResult.Missing(new CommandResult.Unknown()), callback,
					300 + Math.min(200, request.waitMillis()));
		}

		private <T> void send(WorkerListing worker, Function<VirtualWorker, T> effect, T missingResult,
				Consumer<T> callback, long timeout) {
			VirtualWorld world = VirtualWorld.this;
			VirtualWorker target = world.workers.get(worker.id().value());
			long known = world.scheduler.state.workers.get(worker.id()).incarnationStartMillis();
			int meantFor = target.incarnation;
			Function<VirtualWorker, T> command = (vm) -> {
				vm.addressed |= known == vm.incarnationStartMillis;
				vm.commandedIncarnation = meantFor;
				return effect.apply(vm);
			};
			Consumer<T> ifCurrentTerm = (result) -> {
				if (this.schedulerTerm == world.term || world.clock.now() < world.predecessorUntil) {
					callback.accept(result);
				}
			};
			boolean noResult = world.random.nextDouble() < world.unanswered;
			if (noResult && world.random.nextDouble() < world.delayed) {
				// The VM's process keeps the delayed command, so a crash discards it. A
				// VM that is down does not receive it.
				boolean received = target.up || world.keepsCommands;
				int receivedIn = target.incarnation;
				world.clock.schedule(2000 + world.random.nextInt(4000), () -> {
					boolean kept = target.incarnation == receivedIn || world.keepsCommands;
					if (received && kept && target.reachableIn(this.schedulerTerm)) {
						command.apply(target);
					}
				});
				world.clock.schedule(timeout, () -> ifCurrentTerm.accept(missingResult));
				return;
			}
			long timeoutAt = world.clock.now() + timeout;
			world.clock.schedule(2, () -> {
				if (!target.up && target.dark && !target.partitioned && world.keepsCommands) {
					deliverOnRestart(target, command, missingResult, ifCurrentTerm, timeoutAt);
					return;
				}
				if (!target.reachableIn(this.schedulerTerm)) {
					boolean refused = !target.up && !target.dark && !target.partitioned;
					world.clock.schedule(refused ? 1 : timeout, () -> ifCurrentTerm.accept(missingResult));
					return;
				}
				T result = command.apply(target);
				boolean lost = noResult || target.partitioned;
				long delay = lost ? timeout : 2 + world.random.nextInt(3);
				world.clock.schedule(delay, () -> ifCurrentTerm.accept(lost ? missingResult : result));
			});
		}

		private <T> void deliverOnRestart(VirtualWorker target, Function<VirtualWorker, T> command, T missingResult,
				Consumer<T> callback, long timeoutAt) {
			VirtualClock time = VirtualWorld.this.clock;
			long delay = 1 + VirtualWorld.this.random.nextInt(40);
			boolean timedOut = time.now() >= timeoutAt;
			if (timedOut) {
				callback.accept(missingResult);
			}
			time.schedule(delay, () -> {
				boolean arrived = target.reachableIn(this.schedulerTerm);
				if (!arrived && !target.up) {
					deliverOnRestart(target, command, missingResult, timedOut ? (result) -> {
					} : callback, timedOut ? Long.MAX_VALUE : timeoutAt);
					return;
				}
				T result = arrived ? command.apply(target) : missingResult;
				if (!timedOut) {
					time.schedule(2, () -> callback.accept(result));
				}
			});
		}

	}

}
