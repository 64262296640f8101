package io.lentilstream.benchmarks.slopes;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

import io.lentilstream.clients.TaskReport;
import io.lentilstream.clients.WorkerOutcome;
import io.lentilstream.model.Epoch;
import io.lentilstream.model.JobId;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.RackId;
import io.lentilstream.model.Resources;
import io.lentilstream.model.ShardId;
import io.lentilstream.model.TeamId;
import io.lentilstream.model.Urgency;
import io.lentilstream.model.VmId;
import io.lentilstream.tasks.JobSubmission;
import io.lentilstream.tasks.RecoveryOutcome;
import io.lentilstream.tasks.TaskAction;
import io.lentilstream.tasks.TaskDefaults;
import io.lentilstream.tasks.TaskShard;
import io.lentilstream.tasks.TaskStep;
import io.lentilstream.tasks.WorkerCommand;
import io.lentilstream.tasks.WorkerDescription;

/**
 * Runs a task shard in virtual time with workers that carry out every command at once,
 * and counts the processor time that the shard takes.
 */
final class TaskShardRun {

	static final ShardId SHARD = new ShardId("zone", 0);

	private static final Epoch EPOCH = new Epoch(1);

	private static final Resources TASK = new Resources(500, 1_000, 0);

	private static final int WORKERS_PER_RACK = 20;

	// An assumption: the design size does not state the tasks per job.
	private static final int TASKS_PER_JOB = 100;

	// Room for the sizes that the shard learns, which it rounds up, and for the share
	// of each VM that is reserved for urgent tasks.
	private static final int ROOM_PERCENT = 200;

	private static final int MAX_TICKS = 2_000;

	private static final int TEAMS = 17;

	private final TaskShard shard;

	private final int workers;

	private final int tasks;

	private final Map<VmId, List<TaskReport>> running = new HashMap<>();

	private final List<byte[]> entries = new ArrayList<>();

	private MonotonicTime now = MonotonicTime.ofMillis(1);

	private long cpuNanos;

	private int starts;

	private int renewals;

	private TaskShardRun(int workers, int tasks) {
		this.workers = workers;
		this.tasks = tasks;
		RecoveryOutcome outcome = TaskShard.recover(SHARD, EPOCH, this.now, true, TaskDefaults.settings(),
				Optional.empty(), List.of());
		this.shard = ((RecoveryOutcome.Recovered) outcome).shard();
	}

	/**
	 * Places and starts tasks until all run.
	 * @param workers the number of workers
	 * @param tasks the number of tasks
	 * @return the run
	 */
	static TaskShardRun fill(int workers, int tasks) {
		TaskShardRun run = new TaskShardRun(workers, tasks);
		run.carryOut(() -> run.shard.setCommitDeadline(run.now.plusMillis(86_400_000), run.now));
		run.carryOut(() -> run.shard.updateWorkers(run.descriptions(), run.now));
		run.cpuNanos = 0;
		for (int job = 0; job * TASKS_PER_JOB < tasks; job++) {
			JobSubmission submission = JobSubmission.ofEqualTasks(new TeamId("team-" + job % TEAMS),
					new JobId("job-" + job), Urgency.BATCH, "sleep:60000ms", TASK,
					Math.min(TASKS_PER_JOB, tasks - job * TASKS_PER_JOB));
			run.carryOut(() -> run.shard.submit(submission, run.now));
		}
		for (int i = 0; i < MAX_TICKS && run.starts < tasks; i++) {
			run.tick();
		}
		if (run.starts < tasks) {
			throw new IllegalStateException(
					"only " + run.starts + " of " + tasks + " tasks started: " + run.shard.counts(run.now));
		}
		return run;
	}

	private List<WorkerDescription> descriptions() {
		long perWorker = (this.tasks + this.workers - 1) / this.workers * (long) ROOM_PERCENT / 100 + 1;
		Resources capacity = new Resources(perWorker * TASK.milliCores(), perWorker * TASK.memoryMegabytes(), 0);
		List<WorkerDescription> list = new ArrayList<>();
		for (int i = 0; i < this.workers; i++) {
			list.add(new WorkerDescription(new VmId("worker-" + i), new RackId("rack-" + i / WORKERS_PER_RACK),
					capacity, false));
		}
		return list;
	}

	/**
	 * Runs for a while with all tasks running, as between two bursts.
	 * @param seconds virtual seconds
	 */
	void idle(int seconds) {
		this.cpuNanos = 0;
		this.renewals = 0;
		for (long i = 0; i < seconds * 1_000L / TaskDefaults.TICK_INTERVAL.toMillis(); i++) {
			tick();
		}
	}

	private void tick() {
		this.now = this.now.plus(TaskDefaults.TICK_INTERVAL);
		carryOut(() -> this.shard.tick(this.now));
	}

	private void carryOut(Supplier<TaskStep> input) {
		Deque<TaskAction.Send> commands = new ArrayDeque<>();
		take(input, commands);
		while (!commands.isEmpty()) {
			TaskAction.Send send = commands.remove();
			WorkerOutcome outcome = new WorkerOutcome.Done(reports(send));
			take(() -> this.shard.handleCommandOutcome(send.vm(), send.command(), outcome, this.now), commands);
		}
	}

	private void take(Supplier<TaskStep> input, Deque<TaskAction.Send> commands) {
		TaskStep[] step = new TaskStep[1];
		this.cpuNanos += CostMeter.cpuNanos(() -> step[0] = input.get());
		this.entries.addAll(step[0].entries());
		for (TaskAction action : step[0].actions()) {
			if (action instanceof TaskAction.Send send) {
				commands.add(send);
			}
		}
	}

	private List<TaskReport> reports(TaskAction.Send send) {
		List<TaskReport> reports = this.running.computeIfAbsent(send.vm(), (vm) -> new ArrayList<>());
		if (send.command() instanceof WorkerCommand.Start start) {
			this.starts++;
			TaskReport report = new TaskReport(start.task().task(), TaskReport.State.RUNNING, EPOCH,
					start.task().resources(), TASK, 1, Optional.empty(), Optional.empty());
			reports.add(report);
			return List.of(report);
		}
		this.renewals++;
		return List.copyOf(reports);
	}

	/**
	 * Returns the shard without what this run keeps about its workers.
	 * @return the shard
	 */
	TaskShard shard() {
		return this.shard;
	}

	List<byte[]> entries() {
		return this.entries;
	}

	Map<VmId, List<TaskReport>> running() {
		return this.running;
	}

	long cpuNanos() {
		return this.cpuNanos;
	}

	int starts() {
		return this.starts;
	}

	int renewals() {
		return this.renewals;
	}

}
