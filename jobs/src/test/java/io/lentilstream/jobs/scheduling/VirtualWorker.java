package io.lentilstream.jobs.scheduling;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.lentilstream.jobs.CommandResult;
import io.lentilstream.jobs.RunOutcome;
import io.lentilstream.jobs.StepSpec;
import io.lentilstream.jobs.TaskName;
import io.lentilstream.jobs.TaskReport;
import io.lentilstream.jobs.WorkerCommands;
import io.lentilstream.jobs.WorkerId;
import io.lentilstream.jobs.WorkerListing;
import io.lentilstream.model.Resources;
import io.lentilstream.model.ServiceName;

/**
 * A simulated VM in virtual time that enforces fencing tokens, leases and run numbers.
 */
final class VirtualWorker {

	static final ServiceName SERVICE = new ServiceName("press");

	private static final int MAX_LISTED_ENDS = 500;

	final VirtualWorld world;

	final String id;

	long incarnationStartMillis;

	long startedAt;

	boolean up = true;

	/** Whether nothing answers while the VM is down, not even to refuse connections. */
	boolean dark = true;

	/** Whether the platform lists the VM. */
	boolean listed = true;

	final InetSocketAddress address;

	private static final long NOTICE_OF_SHRINKING_MILLIS = 4500;

	private Resources capacity = new Resources(8000, 16_000, 0);

	/** The capacity that starts may use, which follows a shrunk one after a while. */
	private Resources limit = this.capacity;

	/** Whether a network partition drops commands and results. */
	boolean partitioned;

	/** The first term whose commands are dropped. */
	int cutOffFromTerm = Integer.MAX_VALUE;

	/** The rate of the clock. */
	double clockRate = 1;

	String zone = "a";

	/** Whether the VM is listed as draining. */
	boolean draining;

	String rack = "r1-1";

	/** Whether all tasks fail. */
	boolean failing;

	/** How long a stop takes, in milliseconds. */
	long stopMillis;

	/** Whether tasks make no progress. */
	boolean hanging;

	/** The tail latency of all serving tasks, in milliseconds. */
	double tail;

	/** The speeds of the running tasks that were changed, in percent. */
	final Map<TaskName, Integer> speeds = new HashMap<>();

	private long fencingToken;

	private long leaseEnd;

	private long lastEndNumber;

	/** The number of the incarnation, incremented by each crash. */
	int incarnation;

	/**
	 * Whether a scheduler that knew of this incarnation has sent it a command. Before
	 * that, nothing can keep it from carrying out commands for earlier ones.
	 */
	boolean addressed;

	/** The incarnation for which the command that is carried out was sent. */
	int commandedIncarnation;

	final Map<TaskName, Integer> running = new LinkedHashMap<>();

	private final Map<TaskName, Integer> highestEndedRuns = new HashMap<>();

	private final List<TaskReport.Ended> ended = new ArrayList<>();

	/** When the listed runs ended, in milliseconds, by their sequence number. */
	private final Map<Long, Long> endTimes = new HashMap<>();

	/** When the lease was last found to have lapsed, in milliseconds. */
	private long lapsedAt = -1;

	VirtualWorker(VirtualWorld world, String id, InetSocketAddress address) {
		this.world = world;
		this.id = id;
		this.address = address;
		this.startedAt = world.clock.now();
		this.incarnationStartMillis = this.startedAt;
	}

	WorkerListing listing() {
		return new WorkerListing(new WorkerId(this.id), this.incarnationStartMillis, SERVICE, this.address, this.zone,
				this.draining, this.rack, this.capacity, Set.of("k", this.rack));
	}

	/**
	 * Changes the capacity. The scheduler has some time to learn of less capacity.
	 * @param changed the capacity
	 */
	void changeCapacity(Resources changed) {
		this.capacity = changed;
		if (this.limit.fitsWithin(changed)) {
			this.limit = changed;
		}
		int changedIn = this.incarnation;
		this.world.clock.schedule(NOTICE_OF_SHRINKING_MILLIS, () -> {
			if (changedIn == this.incarnation && this.capacity == changed) {
				this.limit = changed;
			}
		});
	}

	Resources limit() {
		return this.limit;
	}

	long clockMillis() {
		return (long) (this.clockRate * (this.world.clock.now() - this.startedAt));
	}

	void crash() {
		this.running.keySet().forEach((task) -> this.world.recordStop(this, task));
		this.running.clear();
		this.highestEndedRuns.clear();
		this.ended.clear();
		this.fencingToken = 0;
		this.lastEndNumber = 0;
		this.leaseEnd = 0;
		this.lapsedAt = -1;
		this.incarnation++;
		this.addressed = false;
		this.up = false;
	}

	boolean reachableIn(int term) {
		return this.up && !this.partitioned && term < this.cutOffFromTerm;
	}

	/**
	 * Tells whether no scheduler could have prevented the start that is carried out.
	 * @return {@code true} if it was meant for an earlier incarnation, and this one has
	 * not been addressed
	 */
	boolean startUnpreventable() {
		return this.commandedIncarnation < this.incarnation && !this.addressed;
	}

	void togglePartition() {
		this.partitioned = !this.partitioned;
	}

	void heal() {
		this.partitioned = false;
	}

	void restart() {
		this.startedAt = this.world.clock.now();
		this.incarnationStartMillis = this.startedAt;
		this.limit = this.capacity;
		this.up = true;
	}

	CommandResult start(long commandToken, WorkerCommands.StartCommand command) {
		if (commandToken < this.fencingToken) {
			return new CommandResult.Refused(CommandResult.Refusal.FENCED);
		}
		this.fencingToken = commandToken;
		if (command.deadlineMillis() <= clockMillis()) {
			return new CommandResult.Refused(CommandResult.Refusal.TOO_LATE);
		}
		extend(command.deadlineMillis());
		Integer runningRun = this.running.get(command.task());
		if (runningRun != null && runningRun == command.run()) {
			return new CommandResult.Done(clockMillis());
		}
		if (runningRun != null || command.run() <= this.highestEndedRuns.getOrDefault(command.task(), 0)) {
			return new CommandResult.Refused(CommandResult.Refusal.OUTDATED_RUN);
		}
		this.running.put(command.task(), command.run());
		this.world.recordStart(this, command);
		watchLease();
		long duration = this.world.durationOf(command.task());
		int startedIn = this.incarnation;
		Long crashAfter = this.world.deadly.get(command.task());
		if (crashAfter != null) {
			this.world.clock.schedule(crashAfter, () -> crashUnder(startedIn, command.task()));
		}
		Deque<Long> failures = this.world.failing.getOrDefault(command.task(), new ArrayDeque<>());
		if (!failures.isEmpty()) {
			this.world.clock.schedule(failures.poll(), () -> fail(startedIn, command.task(), command.run()));
			return new CommandResult.Done(clockMillis());
		}
		if (duration < Long.MAX_VALUE && !this.hanging) {
			this.world.clock.schedule(duration, () -> finish(startedIn, command.task(), command.run()));
		}
		return new CommandResult.Done(clockMillis());
	}

	private void crashUnder(int startedIn, TaskName task) {
		if (startedIn == this.incarnation && this.running.containsKey(task)) {
			this.world.crashAndReturn(this, false);
		}
	}

	private void fail(int startedIn, TaskName task, int run) {
		if (startedIn == this.incarnation && Integer.valueOf(run).equals(this.running.get(task))) {
			end(task, RunOutcome.FAILED);
		}
	}

	private void finish(int startedIn, TaskName task, int run) {
		if (startedIn == this.incarnation && Integer.valueOf(run).equals(this.running.get(task))) {
			boolean fails = this.failing || this.world.alwaysFails.contains(task.job());
			end(task, fails ? RunOutcome.FAILED : RunOutcome.DONE);
		}
	}

	private void end(TaskName task, RunOutcome outcome) {
		int run = this.running.remove(task);
		this.highestEndedRuns.merge(task, run, Math::max);
		this.ended.add(new TaskReport.Ended(++this.lastEndNumber, task, run, outcome, ""));
		this.endTimes.put(this.lastEndNumber, this.world.clock.now());
		this.world.recordStop(this, task);
		if (outcome == RunOutcome.DONE) {
			this.world.recordDone(task);
		}
		if (outcome == RunOutcome.FAILED) {
			this.world.failures++;
		}
	}

	CommandResult stop(long commandToken, TaskName task, int run) {
		if (commandToken < this.fencingToken) {
			return new CommandResult.Refused(CommandResult.Refusal.FENCED);
		}
		this.fencingToken = commandToken;
		Integer runningRun = this.running.get(task);
		if (runningRun != null && runningRun <= run) {
			int startedIn = this.incarnation;
			this.world.clock.schedule(this.stopMillis, () -> {
				if (startedIn == this.incarnation && runningRun.equals(this.running.get(task))) {
					end(task, RunOutcome.STOPPED);
				}
			});
		}
		this.highestEndedRuns.merge(task, run, Math::max);
		return new CommandResult.Done(clockMillis());
	}

	WorkerCommands.ReportResult report(long commandToken, WorkerCommands.ReportRequest request) {
		if (commandToken < this.fencingToken) {
			return new WorkerCommands.ReportResult.Missing(new CommandResult.Refused(CommandResult.Refusal.FENCED));
		}
		this.fencingToken = commandToken;
		extend(request.deadlineMillis());
		this.ended.removeIf((end) -> {
			boolean acknowledged = end.number() <= request.acknowledged();
			if (acknowledged) {
				long endedAt = this.endTimes.get(end.number());
				this.world.recordAcknowledged(end, endedAt, this.lapsedAt >= endedAt);
			}
			return acknowledged;
		});
		List<TaskReport.Running> runningTasks = new ArrayList<>();
		this.running.forEach((task, run) -> runningTasks
			.add(new TaskReport.Running(task, run, "", percentOf(task), measurementOf(task))));
		return new WorkerCommands.ReportResult.Reported(
				new TaskReport(this.incarnationStartMillis, clockMillis(), runningTasks,
						this.ended.stream().limit(MAX_LISTED_ENDS).toList(), this.ended.size() >= MAX_LISTED_ENDS));
	}

	CommandResult setSpeed(long commandToken, TaskName task, int percent) {
		if (commandToken < this.fencingToken) {
			return new CommandResult.Refused(CommandResult.Refusal.FENCED);
		}
		if (this.running.containsKey(task)) {
			this.speeds.put(task, percent);
		}
		return new CommandResult.Done(clockMillis());
	}

	private double measurementOf(TaskName task) {
		StepSpec spec = this.world.specOf(task);
		if (spec.serves()) {
			return this.world.tailModel.applyAsDouble(this, task);
		}
		return spec.size().milliCores() * this.speeds.getOrDefault(task, 100) / 100.0;
	}

	private int percentOf(TaskName task) {
		if (this.world.durationOf(task) == Long.MAX_VALUE) {
			return 100;
		}
		return this.hanging ? 0 : (int) (this.world.progressTicks++ % 100);
	}

	private void extend(long deadline) {
		if (clockMillis() >= this.leaseEnd) {
			this.lapsedAt = this.world.clock.now();
		}
		long latest = clockMillis() + this.world.settings.maxLeaseMillis();
		this.leaseEnd = Math.max(this.leaseEnd, Math.min(deadline, latest));
	}

	private void watchLease() {
		int startedIn = this.incarnation;
		this.world.clock.schedule(50, () -> {
			if (startedIn != this.incarnation || this.running.isEmpty()) {
				return;
			}
			if (clockMillis() >= this.leaseEnd) {
				List.copyOf(this.running.keySet()).forEach((task) -> end(task, RunOutcome.LAPSED));
				return;
			}
			watchLease();
		});
	}

}
