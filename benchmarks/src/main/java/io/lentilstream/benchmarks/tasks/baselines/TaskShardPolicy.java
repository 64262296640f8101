package io.lentilstream.benchmarks.tasks.baselines;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.lentilstream.clients.TaskReport;
import io.lentilstream.clients.WorkerOutcome;
import io.lentilstream.model.Epoch;
import io.lentilstream.model.JobId;
import io.lentilstream.model.RackId;
import io.lentilstream.model.Resources;
import io.lentilstream.model.ShardId;
import io.lentilstream.model.TaskId;
import io.lentilstream.model.TeamId;
import io.lentilstream.model.VmId;
import io.lentilstream.tasks.JobResponse;
import io.lentilstream.tasks.JobSubmission;
import io.lentilstream.tasks.RecoveryOutcome;
import io.lentilstream.tasks.TaskAction;
import io.lentilstream.tasks.TaskCounts;
import io.lentilstream.tasks.TaskDefaults;
import io.lentilstream.tasks.TaskShard;
import io.lentilstream.tasks.TaskState;
import io.lentilstream.tasks.TaskStep;
import io.lentilstream.tasks.VmCommitment;
import io.lentilstream.tasks.WorkerCommand;
import io.lentilstream.tasks.WorkerDescription;

/**
 * Drives a {@link TaskShard} as the entry daemon does, with workers that answer every
 * command.
 */
final class TaskShardPolicy implements Policy {

	static final ShardId SHARD = new ShardId("zone", 0);

	static final Epoch EPOCH = new Epoch(1);

	/** Time of a command or an answer on the network. */
	private static final long NETWORK_MILLIS = 5;

	/** Time to write a checkpoint, per GB of memory. */
	private static final long CHECKPOINT_MILLIS_PER_GIGABYTE = 50;

	private static final long OWNERSHIP_RENEWAL_MILLIS = 1000;

	private static final long COMMIT_DEADLINE_MILLIS = 10_000;

	/** How long a worker lists a task that ended. */
	private static final long ENDED_MILLIS = 30_000;

	private final EventQueue events;

	private final Cluster cluster;

	private final Results results;

	private final DurableLog log;

	private final TaskShard shard;

	private final Map<TaskId, SimulatedTask> tasks = new HashMap<>();

	private final Map<SimulatedTask, TaskId> ids = new HashMap<>();

	private final List<Map<TaskId, TaskRun>> attempts = new ArrayList<>();

	TaskShardPolicy(EventQueue events, Cluster cluster, Results results, DurableLog log) {
		this.events = events;
		this.cluster = cluster;
		this.results = results;
		this.log = log;
		this.shard = ((RecoveryOutcome.Recovered) TaskShard.recover(SHARD, EPOCH, events.now(), true,
				TaskDefaults.settings(), Optional.empty(), List.of()))
			.shard();
		List<WorkerDescription> workers = new ArrayList<>();
		for (int i = 0; i < cluster.workers(); i++) {
			workers.add(new WorkerDescription(vm(i), new RackId("rack-" + i / Cluster.WORKERS_PER_RACK),
					Cluster.CAPACITY, false));
			this.attempts.add(new LinkedHashMap<>());
		}
		cluster.whenEnded(this::ended);
		take(this.shard.updateWorkers(workers, events.now()));
		events.every(0, OWNERSHIP_RENEWAL_MILLIS, this::renewOwnership);
		long tick = TaskDefaults.TICK_INTERVAL.toMillis();
		events.every(tick, tick, () -> take(this.shard.tick(events.now())));
	}

	@Override
	public void submit(SimulatedJob job, List<SimulatedTask> list) {
		TeamId team = new TeamId(job.program().team());
		JobId key = new JobId(job.name());
		TaskStep step = this.shard.submit(
				JobSubmission.ofEqualTasks(team, key, job.urgency(), job.program().name(), job.declared(), job.count()),
				this.events.now());
		this.shard.tasks(team, key).forEach((view) -> {
			this.tasks.put(view.task(), list.get(view.index()));
			this.ids.put(list.get(view.index()), view.task());
		});
		take(step);
	}

	@Override
	public void complete(Results target) {
		TaskCounts counts = this.shard.counts(this.events.now());
		target.policyEvictions = counts.evictions();
		target.failedTasks = counts.states().getOrDefault(TaskState.FAILED, 0);
		target.throttles = counts.throttles();
	}

	TaskShard shard() {
		return this.shard;
	}

	private void renewOwnership() {
		take(this.shard.setCommitDeadline(this.events.now().plusMillis(COMMIT_DEADLINE_MILLIS), this.events.now()));
		for (VmCommitment commitment : this.shard.commitments()) {
			if (!commitment.committed().fitsWithin(commitment.capacity())) {
				this.results.overCommitmentsSeen++;
			}
		}
	}

	private void take(TaskStep step) {
		if (step.entries().isEmpty()) {
			carryOut(step);
		}
		else {
			this.log.append(step.entries(), () -> carryOut(step));
		}
	}

	private void carryOut(TaskStep step) {
		for (TaskAction action : step.actions()) {
			if (action instanceof TaskAction.Send send) {
				send(Integer.parseInt(send.vm().value()), send.command());
			}
			else if (((TaskAction.Respond) action).response() instanceof JobResponse.Refused) {
				this.results.refusedJobs++;
			}
		}
	}

	private void send(int vm, WorkerCommand command) {
		if (command instanceof WorkerCommand.Start && !this.shard.mayStart(this.events.now())) {
			answer(vm, command, new WorkerOutcome.Refused("the commit deadline has passed"), 0);
			return;
		}
		this.events.after(NETWORK_MILLIS, () -> execute(vm, command));
	}

	private void execute(int vm, WorkerCommand command) {
		Map<TaskId, TaskRun> here = this.attempts.get(vm);
		long delay = 0;
		List<TaskId> named;
		if (command instanceof WorkerCommand.Start start) {
			TaskId id = start.task().task();
			named = List.of(id);
			TaskRun earlier = here.get(id);
			if (earlier == null || !earlier.runs()) {
				here.put(id, this.cluster.start(this.tasks.get(id), start.task().resources(), vm,
						start.task().checkpoint()));
			}
		}
		else if (command instanceof WorkerCommand.Stop stop) {
			named = stop.tasks();
			named.stream().map(here::get).filter((run) -> run != null).forEach(this.cluster::stop);
		}
		else if (command instanceof WorkerCommand.Throttle throttle) {
			named = List.of(throttle.task());
			Optional.ofNullable(here.get(throttle.task())).ifPresent((run) -> run.limit = throttle.share());
		}
		else if (command instanceof WorkerCommand.Checkpoint checkpoint) {
			named = List.of(checkpoint.task());
			TaskRun run = here.get(checkpoint.task());
			if (run != null && run.runs()) {
				delay = CHECKPOINT_MILLIS_PER_GIGABYTE * run.memory() / 1024;
				this.events.after(delay, () -> {
					if (run.runs()) {
						run.saveCheckpoint();
					}
				});
			}
		}
		else {
			here.values().removeIf((run) -> !run.runs() && this.events.millis() - run.endedMillis > ENDED_MILLIS);
			named = List.copyOf(here.keySet());
		}
		this.events.after(delay, () -> answer(vm, command, new WorkerOutcome.Done(reports(vm, named)), NETWORK_MILLIS));
	}

	private void answer(int vm, WorkerCommand command, WorkerOutcome outcome, long delay) {
		this.events.after(delay,
				() -> take(this.shard.handleCommandOutcome(vm(vm), command, outcome, this.events.now())));
	}

	private void ended(TaskRun run) {
		List<TaskReport> reports = List.of(report(this.ids.get(run.task), run));
		take(this.shard.handleReports(vm(run.vm), reports, this.events.now()));
	}

	private List<TaskReport> reports(int vm, List<TaskId> named) {
		List<TaskReport> reports = new ArrayList<>();
		for (TaskId id : named) {
			TaskRun run = this.attempts.get(vm).get(id);
			if (run != null) {
				reports.add(report(id, run));
			}
		}
		return reports;
	}

	private TaskReport report(TaskId id, TaskRun run) {
		Optional<TaskRun.Sample> sample = run.reported(this.events.millis());
		return new TaskReport(id, run.state, EPOCH, run.committed,
				sample.map(TaskRun.Sample::used).orElse(Resources.NONE),
				sample.map(TaskRun.Sample::slowdown).orElse(1.0), run.checkpoint(), Optional.empty());
	}

	private static VmId vm(int index) {
		return new VmId(Integer.toString(index));
	}

}
