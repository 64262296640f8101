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
 * Runs tasks under leases as the platform's worker does, in virtual time.
 */
final class FakeWorker {

	final VmId vm;

	final Resources capacity;

	/** The capacity in the live list. */
	Resources listed;

	final Map<TaskId, Run> runs = new LinkedHashMap<>();

	/** Whether commands reach the worker. */
	boolean reachable = true;

	/** Whether the worker refuses starts. */
	boolean refusesStarts;

	/**
	 * Whether the worker carries checkpoint commands out late, so that no reply comes.
	 */
	boolean checkpointsHang;

	/** Programs that fail here, with the reason; the key "*" stands for all. */
	final Map<String, String> failures = new LinkedHashMap<>();

	/** Whether throttle commands are lost. */
	boolean losesThrottles;

	/** The throttled tasks, with their shares. */
	final Map<TaskId, Double> throttles = new LinkedHashMap<>();

	private Epoch highest = Epoch.NONE;

	private int checkpoints;

	FakeWorker(String vm, Resources capacity) {
		this.vm = new VmId(vm);
		this.capacity = capacity;
		this.listed = capacity;
	}

	WorkerOutcome execute(Epoch epoch, WorkerCommand command, MonotonicTime now) {
		expire(now);
		if (epoch.compareTo(this.highest) < 0) {
			return new WorkerOutcome.Fenced(this.highest);
		}
		this.highest = epoch;
		if (command instanceof WorkerCommand.Start start) {
			return start(epoch, start, now);
		}
		if (command instanceof WorkerCommand.Renew renew) {
			this.runs.values().forEach((run) -> run.renew(now.plus(renew.lease())));
			return done(List.copyOf(this.runs.keySet()));
		}
		if (command instanceof WorkerCommand.Checkpoint checkpoint) {
			Run run = this.runs.get(checkpoint.task());
			if (run != null && run.runs()) {
				run.checkpoint = Optional.of(this.vm + "-" + ++this.checkpoints);
			}
			return done(List.of(checkpoint.task()));
		}
		if (command instanceof WorkerCommand.Stop stop) {
			for (TaskId task : stop.tasks()) {
				Run run = this.runs.get(task);
				if (run != null && run.runs()) {
					run.state = TaskReport.State.STOPPED;
				}
			}
			return done(stop.tasks());
		}
		WorkerCommand.Throttle throttle = (WorkerCommand.Throttle) command;
		if (this.losesThrottles) {
			return new WorkerOutcome.NoReply("lost");
		}
		this.throttles.put(throttle.task(), throttle.share());
		return done(List.of(throttle.task()));
	}

	void setReachable(boolean reachable) {
		this.reachable = reachable;
	}

	void setRefusesStarts(boolean refusesStarts) {
		this.refusesStarts = refusesStarts;
	}

	void expire(MonotonicTime now) {
		for (Run run : this.runs.values()) {
			if (run.runs() && run.leaseEnd.isBefore(now)) {
				run.state = TaskReport.State.STOPPED;
			}
		}
	}

	void finish(TaskId task) {
		this.runs.get(task).state = TaskReport.State.DONE;
	}

	List<TaskId> running() {
		return this.runs.values().stream().filter(Run::runs).map((run) -> run.task.task()).toList();
	}

	Resources used() {
		return this.runs.values()
			.stream()
			.filter(Run::runs)
			.map((run) -> run.task.resources())
			.reduce(Resources.NONE, Resources::plus);
	}

	/**
	 * Returns the reports of all tasks.
	 * @return the reports
	 */
	List<TaskReport> reports() {
		return this.runs.values().stream().map(Run::report).toList();
	}

	private WorkerOutcome start(Epoch epoch, WorkerCommand.Start start, MonotonicTime now) {
		if (this.refusesStarts) {
			return new WorkerOutcome.Refused("no");
		}
		TaskId id = start.task().task();
		Run run = this.runs.get(id);
		if (run == null || !run.runs()) {
			run = new Run(start.task(), epoch, now.plus(start.lease()));
			this.runs.put(id, run);
			String failure = this.failures.getOrDefault("*", this.failures.get(start.task().program()));
			if (failure != null) {
				run.state = TaskReport.State.FAILED;
				run.failure = Optional.of(failure);
			}
		}
		return done(List.of(id));
	}

	private WorkerOutcome done(List<TaskId> tasks) {
		List<TaskReport> reports = new ArrayList<>();
		for (TaskId task : tasks) {
			Run run = this.runs.get(task);
			if (run != null) {
				reports.add(run.report());
			}
		}
		return new WorkerOutcome.Done(reports);
	}

	static final class Run {

		final TaskSpecification task;

		private final Epoch epoch;

		TaskReport.State state = TaskReport.State.RUNNING;

		Optional<String> checkpoint;

		Optional<String> failure = Optional.empty();

		private Resources used = Resources.NONE;

		private double slowdown = 1;

		private MonotonicTime leaseEnd;

		private Run(TaskSpecification task, Epoch epoch, MonotonicTime leaseEnd) {
			this.task = task;
			this.epoch = epoch;
			this.leaseEnd = leaseEnd;
			this.checkpoint = task.checkpoint();
		}

		boolean runs() {
			return this.state == TaskReport.State.RUNNING;
		}

		/**
		 * Sets what later reports say.
		 * @param use the measured use
		 * @param runTime the measured run time relative to an undisturbed run
		 */
		void measure(Resources use, double runTime) {
			this.used = use;
			this.slowdown = runTime;
		}

		private void renew(MonotonicTime end) {
			if (runs()) {
				this.leaseEnd = end;
			}
		}

		private TaskReport report() {
			return new TaskReport(this.task.task(), this.state, this.epoch, this.task.resources(), this.used,
					this.slowdown, this.checkpoint, this.failure);
		}

	}

}
