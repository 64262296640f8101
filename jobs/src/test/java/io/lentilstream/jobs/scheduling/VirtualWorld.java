package io.lentilstream.jobs.scheduling;

import java.util.ArrayList;
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
import io.lentilstream.jobs.WorkerListing;
import io.lentilstream.jobs.codec.DecodeException;
import io.lentilstream.jobs.codec.ProgressCodec;
import io.lentilstream.model.JobId;
import io.lentilstream.model.Resources;

/**
 * VMs, stored jobs and a scheduler in virtual time, with a check of the promises after
 * each event.
 */
final class VirtualWorld {

	static final SchedulerSettings SETTINGS = new SchedulerSettings(6000, 3, 4000, 4000, 3000);

	final VirtualClock clock = new VirtualClock();

	final Random random;

	final Map<String, VirtualWorker> workers = new LinkedHashMap<>();

	final Set<JobId> alwaysFails = new HashSet<>();

	final List<String> violations = new ArrayList<>();

	final List<String> log = new ArrayList<>();

	long tick;

	/** How many runs ended as failed. */
	int failures;

	/** Share of orders that get no answer. */
	double unanswered;

	/** Share of the unanswered orders that are carried out seconds later. */
	double late;

	/** Whether the store takes changes. */
	boolean storeUp = true;

	private final Map<JobId, JobSubmission> submissions = new LinkedHashMap<>();

	private final Map<JobId, byte[]> progress = new HashMap<>();

	private final Set<JobId> cancelled = new HashSet<>();

	private final Map<TaskName, Set<String>> runningOn = new HashMap<>();

	private final Set<TaskName> ended = new HashSet<>();

	private final Set<TaskName> notedDone = new HashSet<>();

	private final Map<TaskName, Long> durations = new HashMap<>();

	private int term = -1;

	JobScheduler scheduler;

	VirtualWorld(long seed) {
		this.random = new Random(seed);
	}

	VirtualWorker addWorker(String id) {
		VirtualWorker worker = new VirtualWorker(this, id);
		this.workers.put(id, worker);
		if (this.scheduler != null) {
			this.scheduler.workerListed(worker.listing());
		}
		return worker;
	}

	/**
	 * Ends the present scheduler without notice and starts its successor.
	 */
	void takeOver() {
		this.term++;
		int mine = this.term;
		long token = mine + 1L;
		JobScheduler next = new JobScheduler(SETTINGS, new Orders(mine, token), this::note, this.clock::now,
				this.clock::now, LeadershipLease.unlimited(mine * 64));
		this.scheduler = next;
		for (JobSubmission submission : this.submissions.values()) {
			next.load(submission, stored(submission.id()));
		}
		this.cancelled.forEach(next::cancel);
		next.start(this.workers.values().stream().map(VirtualWorker::listing).toList());
		this.workers.values().forEach((worker) -> next.workerListed(worker.listing()));
		turn(mine);
		review(mine);
	}

	void toggleStore() {
		this.storeUp = !this.storeUp;
	}

	private void note(String decision, Object subject, Object... inputs) {
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

	private void turn(int mine) {
		if (mine != this.term) {
			return;
		}
		this.scheduler.tick();
		if (this.storeUp) {
			for (JobScheduler.Change change : this.scheduler.pollChanges(15)) {
				this.progress.put(change.progress().job(), ProgressCodec.encode(change.progress()));
				this.scheduler.changeStored(change);
			}
		}
		this.clock.after(20, () -> turn(mine));
	}

	private void review(int mine) {
		if (mine == this.term) {
			this.scheduler.runPeriodicChecks();
			this.clock.after(200, () -> review(mine));
		}
	}

	JobSubmission submit(String id, int priority, StepSpec... steps) {
		JobSubmission submission = new JobSubmission(new JobId(id), "q" + priority,
				new QueuePolicy(VirtualWorker.SERVICE, priority, 3, 2, 500), "payload", List.of(steps),
				JobSubmission.Schedule.ONCE, this.clock.now());
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

	void duration(TaskName task, long millis) {
		this.durations.put(task, millis);
	}

	long durationOf(TaskName task) {
		Long known = this.durations.get(task);
		if (known != null) {
			return known;
		}
		StepSpec step = this.submissions.get(task.job()).steps().get(task.step());
		return step.traits().longRunning() ? Long.MAX_VALUE : step.estimateMillis();
	}

	void started(VirtualWorker worker, WorkerCommands.StartCommand order) {
		TaskName task = order.task();
		JobSubmission submission = this.submissions.get(task.job());
		StepSpec step = submission.steps().get(task.step());
		Set<String> places = this.runningOn.computeIfAbsent(task, (name) -> new HashSet<>());
		if (!places.isEmpty() && !step.traits().speculative()) {
			violation("two runs of " + task + " on " + places + " and " + worker.id);
		}
		if (this.notedDone.contains(task) && !step.traits().speculative()) {
			violation("start of " + task + " after its acknowledged end");
		}
		for (int earlier : step.dependsOn()) {
			for (int index = 0; index < submission.steps().get(earlier).count(); index++) {
				if (!this.ended.contains(new TaskName(task.job(), task.occurrence(), earlier, index))) {
					violation("start of " + task + " before step " + earlier + " is done");
				}
			}
		}
		places.add(worker.id);
		Resources used = Resources.NONE;
		for (TaskName running : worker.running.keySet()) {
			StepSpec spec = this.submissions.get(running.job()).steps().get(running.step());
			used = used.plus(spec.reserved());
		}
		if (!used.fitsWithin(worker.listing().capacity())) {
			violation("VM " + worker.id + " over its capacity: " + used);
		}
	}

	void stopped(VirtualWorker worker, TaskName task) {
		this.runningOn.getOrDefault(task, Set.of()).remove(worker.id);
	}

	void done(TaskName task) {
		this.ended.add(task);
		StepSpec step = this.submissions.get(task.job()).steps().get(task.step());
		// The end of one member of a gang stands for all.
		for (int index = 0; step.traits().gang() && index < step.count(); index++) {
			this.ended.add(new TaskName(task.job(), task.occurrence(), task.step(), index));
		}
	}

	void acknowledged(TaskReport.Ended end) {
		if (end.outcome() == RunOutcome.DONE) {
			this.notedDone.add(end.task());
		}
	}

	private void violation(String text) {
		this.violations.add(this.clock.now() + " " + text);
	}

	/**
	 * Carries orders to VMs and answers back.
	 */
	private final class Orders implements WorkerCommands {

		private final int mine;

		private final long token;

		Orders(int mine, long token) {
			this.mine = mine;
			this.token = token;
		}

		@Override
		public void start(WorkerListing worker, StartCommand order, Consumer<CommandResult> answer) {
			send(worker, (target) -> target.start(this.token, order), new CommandResult.Unknown(), answer, 300);
		}

		@Override
		public void stop(WorkerListing worker, TaskName task, int run, Consumer<CommandResult> answer) {
			send(worker, (target) -> target.stop(this.token, task, run), new CommandResult.Unknown(), answer, 300);
		}

		@Override
		public void setSpeed(WorkerListing worker, TaskName task, int run, int percent,
				Consumer<CommandResult> answer) {
			send(worker, (target) -> new CommandResult.Done(target.clockMillis()), new CommandResult.Unknown(), answer,
					300);
		}

		@Override
		public void requestReport(WorkerListing worker, ReportRequest order, Consumer<ReportResult> answer) {
			send(worker, (target) -> target.hold(this.token, order),
					(ReportResult) new ReportResult.Missing(new CommandResult.Unknown()), answer,
					300 + Math.min(200, order.waitMillis()));
		}

		private <T> void send(WorkerListing worker, Function<VirtualWorker, T> order, T missing, Consumer<T> answer,
				long timeout) {
			VirtualWorld world = VirtualWorld.this;
			VirtualWorker target = world.workers.get(worker.id().value());
			Consumer<T> mineOnly = (outcome) -> {
				if (this.mine == world.term) {
					answer.accept(outcome);
				}
			};
			boolean silent = world.random.nextDouble() < world.unanswered;
			if (silent && world.random.nextDouble() < world.late) {
				// The order waits inside the VM's process, so it ends with that process.
				int received = target.life;
				world.clock.after(2000 + world.random.nextInt(4000), () -> {
					if (target.up && !target.cut && target.life == received) {
						order.apply(target);
					}
				});
				world.clock.after(timeout, () -> mineOnly.accept(missing));
				return;
			}
			world.clock.after(2, () -> {
				if (!target.up || target.cut) {
					world.clock.after(timeout, () -> mineOnly.accept(missing));
					return;
				}
				T outcome = order.apply(target);
				boolean lost = silent || target.cut;
				long delay = lost ? timeout : 2 + world.random.nextInt(3);
				world.clock.after(delay, () -> mineOnly.accept(lost ? missing : outcome));
			});
		}

	}

}
