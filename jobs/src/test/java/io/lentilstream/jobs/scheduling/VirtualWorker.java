package io.lentilstream.jobs.scheduling;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.lentilstream.jobs.CommandResult;
import io.lentilstream.jobs.RunOutcome;
import io.lentilstream.jobs.TaskName;
import io.lentilstream.jobs.TaskReport;
import io.lentilstream.jobs.WorkerCommands;
import io.lentilstream.jobs.WorkerId;
import io.lentilstream.jobs.WorkerListing;
import io.lentilstream.model.Resources;
import io.lentilstream.model.ServiceName;

/**
 * A VM in virtual time: it guards its fencing token, its leases and its run numbers.
 */
final class VirtualWorker {

	static final ServiceName SERVICE = new ServiceName("press");

	private static final long MAX_LEASE_MILLIS = 6000;

	final VirtualWorld world;

	final String id;

	long born;

	long bornAt;

	boolean up = true;

	/** Whether orders and answers are lost. */
	boolean cut;

	/** Whether the VM has said that it will leave. */
	boolean draining;

	/** Whether all tasks fail. */
	boolean failing;

	/** Whether tasks make no progress. */
	boolean hanging;

	private long token;

	private long leaseEnd;

	private long ends;

	/** Number of the incarnation. */
	int life;

	final Map<TaskName, Integer> running = new LinkedHashMap<>();

	private final Map<TaskName, Integer> highest = new HashMap<>();

	private final List<TaskReport.Ended> ended = new ArrayList<>();

	VirtualWorker(VirtualWorld world, String id) {
		this.world = world;
		this.id = id;
		this.bornAt = world.clock.now();
		this.born = this.bornAt;
	}

	WorkerListing listing() {
		return new WorkerListing(new WorkerId(this.id), this.born, SERVICE, new InetSocketAddress("127.0.0.1", 1), "a",
				this.draining, "r1-1", new Resources(8000, 16_000, 0), Set.of("k", "r1-1"));
	}

	long clockMillis() {
		return this.world.clock.now() - this.bornAt;
	}

	void crash() {
		this.running.keySet().forEach((task) -> this.world.stopped(this, task));
		this.running.clear();
		this.highest.clear();
		this.ended.clear();
		this.token = 0;
		this.ends = 0;
		this.leaseEnd = 0;
		this.life++;
		this.up = false;
	}

	void toggleCut() {
		this.cut = !this.cut;
	}

	void heal() {
		this.cut = false;
	}

	void restart() {
		this.bornAt = this.world.clock.now();
		this.born = this.bornAt;
		this.up = true;
	}

	CommandResult start(long fence, WorkerCommands.StartCommand order) {
		if (fence < this.token) {
			return new CommandResult.Refused(CommandResult.Refusal.FENCED);
		}
		this.token = fence;
		if (order.deadlineMillis() <= clockMillis()) {
			return new CommandResult.Refused(CommandResult.Refusal.TOO_LATE);
		}
		extend(order.deadlineMillis());
		Integer present = this.running.get(order.task());
		if (present != null && present == order.run()) {
			return new CommandResult.Done(clockMillis());
		}
		if (present != null || order.run() <= this.highest.getOrDefault(order.task(), 0)) {
			return new CommandResult.Refused(CommandResult.Refusal.OUTDATED_RUN);
		}
		this.running.put(order.task(), order.run());
		this.world.started(this, order);
		watchLease();
		long duration = this.world.durationOf(order.task());
		int lifeNow = this.life;
		if (duration < Long.MAX_VALUE && !this.hanging) {
			this.world.clock.after(duration, () -> finish(lifeNow, order.task(), order.run()));
		}
		return new CommandResult.Done(clockMillis());
	}

	private void finish(int lifeThen, TaskName task, int run) {
		if (lifeThen == this.life && Integer.valueOf(run).equals(this.running.get(task))) {
			boolean fails = this.failing || this.world.alwaysFails.contains(task.job());
			end(task, fails ? RunOutcome.FAILED : RunOutcome.DONE);
		}
	}

	private void end(TaskName task, RunOutcome how) {
		int run = this.running.remove(task);
		this.highest.merge(task, run, Math::max);
		this.ended.add(new TaskReport.Ended(++this.ends, task, run, how, ""));
		this.world.stopped(this, task);
		if (how == RunOutcome.DONE) {
			this.world.done(task);
		}
		if (how == RunOutcome.FAILED) {
			this.world.failures++;
		}
	}

	CommandResult stop(long fence, TaskName task, int run) {
		if (fence < this.token) {
			return new CommandResult.Refused(CommandResult.Refusal.FENCED);
		}
		this.token = fence;
		Integer present = this.running.get(task);
		if (present != null && present <= run) {
			end(task, RunOutcome.STOPPED);
		}
		this.highest.merge(task, run, Math::max);
		return new CommandResult.Done(clockMillis());
	}

	WorkerCommands.ReportResult hold(long fence, WorkerCommands.ReportRequest order) {
		if (fence < this.token) {
			return new WorkerCommands.ReportResult.Missing(new CommandResult.Refused(CommandResult.Refusal.FENCED));
		}
		this.token = fence;
		extend(order.deadlineMillis());
		this.ended.removeIf((end) -> {
			boolean forgotten = end.number() <= order.acknowledged();
			if (forgotten) {
				this.world.acknowledged(end);
			}
			return forgotten;
		});
		List<TaskReport.Running> rows = new ArrayList<>();
		this.running.forEach((task, run) -> rows.add(new TaskReport.Running(task, run, "", percentOf(task), 0)));
		return new WorkerCommands.ReportResult.Reported(
				new TaskReport(this.born, clockMillis(), rows, List.copyOf(this.ended)));
	}

	private int percentOf(TaskName task) {
		if (this.world.durationOf(task) == Long.MAX_VALUE) {
			return 100;
		}
		return this.hanging ? 0 : (int) (this.world.tick++ % 100);
	}

	private void extend(long deadline) {
		long most = clockMillis() + MAX_LEASE_MILLIS;
		this.leaseEnd = Math.max(this.leaseEnd, Math.min(deadline, most));
	}

	private void watchLease() {
		int lifeNow = this.life;
		this.world.clock.after(50, () -> {
			if (lifeNow != this.life || this.running.isEmpty()) {
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
