package io.lentilstream.tasks;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.lentilstream.clients.TaskReport;
import io.lentilstream.clients.TaskSpecification;
import io.lentilstream.clients.WorkerOutcome;
import io.lentilstream.model.Epoch;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.Resources;
import io.lentilstream.model.TaskId;
import io.lentilstream.model.VmId;

/**
 * A simulated worker that runs tasks under leases in virtual time.
 */
final class FakeWorker {

	final VmId vm;

	final Resources capacity;

	/** The capacity in the list of live VMs. */
	Resources listed;

	final Map<TaskId, Attempt> attempts = new LinkedHashMap<>();

	/** Whether commands reach the worker. */
	boolean reachable = true;

	/** Whether the worker refuses starts. */
	boolean refusesStarts;

	/**
	 * Whether the worker executes checkpoint commands without replying.
	 */
	boolean checkpointsHang;

	/**
	 * The failure reasons of programs that fail here; the key "*" matches all programs.
	 */
	final Map<String, String> failures = new LinkedHashMap<>();

	/** The program that crashes the worker; {@code null} if none does. */
	String deadlyProgram;

	/** The number of crashes. */
	int crashes;

	/** Whether throttle commands get lost. */
	boolean dropsThrottles;

	/** The CPU shares of throttled tasks. */
	final Map<TaskId, Double> throttles = new LinkedHashMap<>();

	private Epoch highestEpoch = Epoch.NONE;

	private int checkpoints;

	FakeWorker(String vm, Resources capacity) {
		this.vm = new VmId(vm);
		this.capacity = capacity;
		this.listed = capacity;
	}

	WorkerOutcome execute(Epoch epoch, WorkerCommand command, MonotonicTime now) {
		expire(now);
		if (epoch.compareTo(this.highestEpoch) < 0) {
			return new WorkerOutcome.Fenced(this.highestEpoch);
		}
		this.highestEpoch = epoch;
		if (command instanceof WorkerCommand.Start start) {
			return start(epoch, start, now);
		}
		if (command instanceof WorkerCommand.Renew renew) {
			this.attempts.values().forEach((attempt) -> attempt.renew(now.plus(renew.lease())));
			return done(List.copyOf(this.attempts.keySet()));
		}
		if (command instanceof WorkerCommand.Checkpoint checkpoint) {
			Attempt attempt = this.attempts.get(checkpoint.task());
			if (attempt != null && attempt.isRunning()) {
				attempt.checkpoint = Optional.of(this.vm + "-" + ++this.checkpoints);
			}
			return done(List.of(checkpoint.task()));
		}
		if (command instanceof WorkerCommand.Stop stop) {
			for (TaskId task : stop.tasks()) {
				Attempt attempt = this.attempts.get(task);
				if (attempt != null && attempt.isRunning()) {
					attempt.state = TaskReport.State.STOPPED;
				}
			}
			return done(stop.tasks());
		}
		WorkerCommand.Throttle throttle = (WorkerCommand.Throttle) command;
		if (this.dropsThrottles) {
			return new WorkerOutcome.NoReply("lost");
		}
		this.throttles.put(throttle.task(), throttle.share());
		return done(List.of(throttle.task()));
	}

	/**
	 * Crashes the worker, which is back at once and knows nothing of before.
	 */
	void crash() {
		this.crashes++;
		this.attempts.clear();
		this.highestEpoch = Epoch.NONE;
	}

	void setReachable(boolean reachable) {
		this.reachable = reachable;
	}

	void setRefusesStarts(boolean refusesStarts) {
		this.refusesStarts = refusesStarts;
	}

	void expire(MonotonicTime now) {
		for (Attempt attempt : this.attempts.values()) {
			if (attempt.isRunning() && attempt.leaseEnd.isBefore(now)) {
				attempt.state = TaskReport.State.STOPPED;
			}
		}
	}

	void finish(TaskId task) {
		this.attempts.get(task).state = TaskReport.State.DONE;
	}

	List<TaskId> running() {
		return this.attempts.values()
			.stream()
			.filter(Attempt::isRunning)
			.map((attempt) -> attempt.task.task())
			.toList();
	}

	Resources used() {
		return this.attempts.values()
			.stream()
			.filter(Attempt::isRunning)
			.map((attempt) -> attempt.task.resources())
			.reduce(Resources.NONE, Resources::plus);
	}

	/**
	 * Returns the reports of all tasks.
	 * @return the reports
	 */
	List<TaskReport> reports() {
		return this.attempts.values().stream().map(Attempt::report).toList();
	}

	private WorkerOutcome start(Epoch epoch, WorkerCommand.Start start, MonotonicTime now) {
		if (this.refusesStarts) {
			return new WorkerOutcome.Refused("no");
		}
		if (start.task().program().equals(this.deadlyProgram)) {
			crash();
			return new WorkerOutcome.NoReply("crashed");
		}
		TaskId id = start.task().task();
		Attempt attempt = this.attempts.get(id);
		if (attempt == null || !attempt.isRunning()) {
			attempt = new Attempt(start.task(), epoch, now.plus(start.lease()));
			this.attempts.put(id, attempt);
			String failure = this.failures.getOrDefault("*", this.failures.get(start.task().program()));
			if (failure != null) {
				attempt.state = TaskReport.State.FAILED;
				attempt.failure = Optional.of(failure);
			}
		}
		return done(List.of(id));
	}

	private WorkerOutcome done(List<TaskId> tasks) {
		List<TaskReport> reports = new ArrayList<>();
		for (TaskId task : tasks) {
			Attempt attempt = this.attempts.get(task);
			if (attempt != null) {
				reports.add(attempt.report());
			}
		}
		return new WorkerOutcome.Done(reports);
	}

	static final class Attempt {

		final TaskSpecification task;

		private final Epoch epoch;

		TaskReport.State state = TaskReport.State.RUNNING;

		Optional<String> checkpoint;

		Optional<String> failure = Optional.empty();

		private Resources used = Resources.NONE;

		private double slowdown = 1;

		private MonotonicTime leaseEnd;

		private Attempt(TaskSpecification task, Epoch epoch, MonotonicTime leaseEnd) {
			this.task = task;
			this.epoch = epoch;
			this.leaseEnd = leaseEnd;
			this.checkpoint = task.checkpoint();
		}

		boolean isRunning() {
			return this.state == TaskReport.State.RUNNING;
		}

		/**
		 * Sets the measurements of subsequent reports.
		 * @param use the measured usage
		 * @param relativeRunTime the measured run time relative to an undisturbed run
		 */
		void measure(Resources use, double relativeRunTime) {
			this.used = use;
			this.slowdown = relativeRunTime;
		}

		private void renew(MonotonicTime end) {
			if (isRunning()) {
				this.leaseEnd = end;
			}
		}

		private TaskReport report() {
			return new TaskReport(this.task.task(), this.state, this.epoch, this.task.resources(), this.used,
					this.slowdown, this.checkpoint, this.failure);
		}

	}

}
