package io.lentilstream.tasks;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.lentilstream.clients.WorkerOutcome;
import io.lentilstream.model.Epoch;
import io.lentilstream.model.JobId;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.RackId;
import io.lentilstream.model.Resources;
import io.lentilstream.model.ShardId;
import io.lentilstream.model.TaskId;
import io.lentilstream.model.TeamId;
import io.lentilstream.model.Urgency;
import io.lentilstream.model.VmId;
import io.lentilstream.tasks.log.LogDecodeOutcome;
import io.lentilstream.tasks.log.TaskLogCodec;
import io.lentilstream.tasks.log.TaskLogEntry;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A simulation of a shard in virtual time: workers, an in-memory shard log, and the
 * current and previous owners. Checks the guarantees of the shard after each event.
 */
final class ShardSimulation {

	static final ShardId SHARD = new ShardId("zone-a", 3);

	static final TeamId TEAM = new TeamId("ash");

	static final TeamId OTHER_TEAM = new TeamId("bark");

	static final String PROGRAM = "reconcile";

	static final Duration ENTRY_LEASE = Duration.ofSeconds(10);

	final TaskSettings settings;

	final Map<String, FakeWorker> workers = new LinkedHashMap<>();

	final Set<String> leavingVms = new HashSet<>();

	/** VMs whose commitments may temporarily exceed their listed capacity. */
	final Set<String> shrunkVms = new HashSet<>();

	final List<byte[]> log = new ArrayList<>();

	final Set<TaskAction.Respond> accepted = new LinkedHashSet<>();

	FakeOwner owner;

	/** Previous owners that have not yet noticed that they were replaced. */
	final List<FakeOwner> previousOwners = new ArrayList<>();

	MonotonicTime now = MonotonicTime.ofMillis(-5_000);

	private byte[] snapshot;

	private int snapshotPosition;

	/** The latest checkpoint of each task in the log. */
	private final Map<TaskId, String> recordedCheckpoints = new HashMap<>();

	private final Set<TaskId> finished = new HashSet<>();

	ShardSimulation(int workerCount, TaskSettings settings) {
		this.settings = settings;
		for (int i = 0; i < workerCount; i++) {
			String name = "vm-" + i;
			this.workers.put(name, new FakeWorker(name, new Resources(8000, 8192, 1)));
		}
		takeOver(false, false);
	}

	static JobSubmission job(String key, Urgency urgency, long cores, int count) {
		return JobSubmission.ofEqualTasks(TEAM, new JobId(key), urgency, PROGRAM, new Resources(cores * 1000, 1024, 0),
				count);
	}

	/**
	 * Replaces the owner. The previous one goes on unless it was released or crashed.
	 * @param released whether the previous owner confirmed that it stopped
	 * @param crashed whether the previous owner crashed
	 */
	void takeOver(boolean released, boolean crashed) {
		if (this.owner != null) {
			if (released || crashed) {
				this.owner.uncommitted.clear();
			}
			this.owner.inbox.clear();
			if (released) {
				this.owner.outbox.clear();
			}
			if (!released && !crashed) {
				this.previousOwners.add(this.owner);
			}
		}
		Epoch epoch = (this.owner != null) ? this.owner.shard.epoch().next() : new Epoch(1);
		RecoveryOutcome outcome = TaskShard.recover(SHARD, epoch, this.now, released, this.settings,
				Optional.ofNullable(this.snapshot),
				List.copyOf(this.log.subList(this.snapshotPosition, this.log.size())));
		this.owner = new FakeOwner(((RecoveryOutcome.Recovered) outcome).shard());
		renewEntryLease();
		updateWorkers();
	}

	void renewEntryLease() {
		this.owner.commitDeadline = this.now.plus(ENTRY_LEASE);
		this.owner.process(this.owner.shard.setCommitDeadline(this.owner.commitDeadline, this.now), this.now);
	}

	void updateWorkers() {
		List<WorkerDescription> list = new ArrayList<>();
		for (FakeWorker worker : this.workers.values()) {
			int number = Integer.parseInt(worker.vm.value().substring(3));
			list.add(new WorkerDescription(worker.vm, new RackId("rack-" + number % 3), worker.listed,
					this.leavingVms.contains(worker.vm.value())));
		}
		this.owner.process(this.owner.shard.updateWorkers(list, this.now), this.now);
	}

	void submit(JobSubmission job) {
		this.owner.process(this.owner.shard.submit(job, this.now), this.now);
	}

	/**
	 * Delivers unsolicited reports of a worker.
	 * @param worker the worker
	 */
	void deliverReports(FakeWorker worker) {
		this.owner.process(this.owner.shard.handleReports(worker.vm, worker.reports(), this.now), this.now);
	}

	void cancel(String key) {
		this.owner.process(this.owner.shard.cancel(TEAM, new JobId(key), this.now), this.now);
	}

	/**
	 * Takes a snapshot if no entry waits to become durable, as the daemon does.
	 */
	void takeSnapshot() {
		if (this.owner.uncommitted.isEmpty()) {
			this.snapshot = this.owner.shard.snapshot();
			this.snapshotPosition = Math.max(0, this.log.size() - 2);
		}
	}

	/**
	 * Makes the entries of the oldest uncommitted step durable and runs its actions.
	 * @param from the owner
	 * @param acknowledged whether the owner receives the acknowledgement
	 */
	void commit(FakeOwner from, boolean acknowledged) {
		TaskStep step = from.uncommitted.poll();
		if (step == null || from != this.owner) {
			// The epoch marker fences appends of previous owners.
			return;
		}
		for (byte[] entry : step.entries()) {
			append(entry);
		}
		if (acknowledged) {
			int previousCount = from.responses.size();
			from.run(step, this.now);
			for (TaskAction.Respond response : from.responses.subList(previousCount, from.responses.size())) {
				if (response.response() instanceof JobResponse.Accepted) {
					this.accepted.add(response);
				}
			}
		}
	}

	private void append(byte[] bytes) {
		this.log.add(bytes);
		TaskLogEntry entry = ((LogDecodeOutcome.Decoded) TaskLogCodec.decode(bytes)).entry();
		if (entry instanceof TaskLogEntry.CheckpointRecorded checkpoint) {
			this.recordedCheckpoints.put(id(checkpoint.jobSequence(), checkpoint.index()), checkpoint.checkpoint());
		}
		else if (entry instanceof TaskLogEntry.TasksFinished tasks) {
			tasks.tasks().forEach((key) -> this.finished.add(id(key.jobSequence(), key.index())));
		}
	}

	/**
	 * Delivers a command to its worker.
	 * @param from the owner
	 * @param index the position in its outbox
	 * @param replyArrives whether the reply reaches the owner
	 */
	void deliverCommand(FakeOwner from, int index, boolean replyArrives) {
		FakeOwner.SentCommand sent = from.outbox.remove(index);
		TaskAction.Send send = sent.send();
		FakeWorker worker = this.workers.get(send.vm().value());
		WorkerOutcome outcome = new WorkerOutcome.NoReply("lost");
		if (send.command() instanceof WorkerCommand.Start && !from.shard.mayStart(this.now)) {
			outcome = new WorkerOutcome.Refused("commit deadline");
		}
		else if (worker.reachable && !sent.time().plus(this.settings.clockMargin()).isBefore(this.now)) {
			WorkerOutcome reply = worker.execute(from.shard.epoch(), send.command(), this.now);
			boolean hangs = worker.checkpointsHang && send.command() instanceof WorkerCommand.Checkpoint;
			if (hangs) {
				// The owner still waits for the reply.
				return;
			}
			outcome = replyArrives ? reply : outcome;
			if (send.command() instanceof WorkerCommand.Start start && !(reply instanceof WorkerOutcome.Fenced)) {
				checkStart(start);
			}
		}
		from.inbox.add(new FakeOwner.CommandOutcome(send, outcome));
		check();
	}

	void deliverOutcome(FakeOwner from, int index) {
		FakeOwner.CommandOutcome delivered = from.inbox.remove(index);
		from.process(from.shard.handleCommandOutcome(delivered.send().vm(), delivered.send().command(),
				delivered.outcome(), this.now), this.now);
	}

	void advance(Duration time) {
		this.now = this.now.plus(time);
		this.workers.values().forEach((worker) -> worker.expire(this.now));
		tick(this.owner);
		this.previousOwners.forEach(this::tick);
		check();
	}

	private void tick(FakeOwner from) {
		from.process(from.shard.tick(this.now), this.now);
		from.process(from.shard.tick(this.now), this.now);
	}

	/**
	 * Runs without faults in steps of 100 ms: all steps are committed and all commands
	 * and outcomes are delivered.
	 * @param seconds the virtual time, in seconds
	 */
	void run(int seconds) {
		for (int tenth = 0; tenth < 10 * seconds; tenth++) {
			processAll();
			if (tenth % 30 == 0) {
				renewEntryLease();
			}
			advance(Duration.ofMillis(100));
		}
		processAll();
	}

	/**
	 * Runs without faults in steps of one second.
	 * @param time the virtual time
	 */
	void runFor(Duration time) {
		for (long second = 0; second < time.toSeconds(); second++) {
			renewEntryLease();
			processAll();
			advance(Duration.ofSeconds(1));
		}
		processAll();
	}

	void processAll() {
		for (int round = 0; round < 10_000 && !isIdle(); round++) {
			while (!this.owner.uncommitted.isEmpty()) {
				commit(this.owner, true);
			}
			while (!this.owner.outbox.isEmpty()) {
				deliverCommand(this.owner, 0, true);
			}
			while (!this.owner.inbox.isEmpty()) {
				deliverOutcome(this.owner, 0);
			}
		}
		assertThat(isIdle()).as("owner stops sending commands").isTrue();
	}

	private boolean isIdle() {
		return this.owner.uncommitted.isEmpty() && this.owner.outbox.isEmpty() && this.owner.inbox.isEmpty();
	}

	/**
	 * Returns the VMs on which the tasks of a job are placed.
	 * @param team the team
	 * @param job the key of the job
	 * @return the names of the VMs, in the order of the tasks
	 */
	List<String> vmsOf(TeamId team, String job) {
		return this.owner.shard.tasks(team, new JobId(job))
			.stream()
			.flatMap((task) -> task.vm().stream())
			.map(VmId::value)
			.toList();
	}

	/**
	 * Sets the measurements that the tasks of a job report.
	 * @param job the key of the job of the first team
	 * @param used the measured usage
	 * @param slowdown the measured run time relative to an undisturbed run
	 */
	void measure(String job, Resources used, double slowdown) {
		for (TaskView task : this.owner.shard.tasks(TEAM, new JobId(job))) {
			workerOf(task.task()).ifPresent((worker) -> worker.attempts.get(task.task()).measure(used, slowdown));
		}
	}

	/**
	 * Lets every task fail on a worker until it is on probation, and finishes all tasks.
	 * @param worker the worker
	 */
	void putOnProbation(FakeWorker worker) {
		worker.failures.put("*", "disk");
		for (int i = 0; i < 8; i++) {
			// The jobs together need all workers, so the failing one cannot be avoided.
			submit(job("early-" + i, Urgency.BATCH, 1, 4));
			run(1);
		}
		assertThat(this.owner.shard.counts(this.now).workersOnProbation()).isOne();
		for (int round = 0; round < 12; round++) {
			finishAll();
			run(1);
		}
	}

	TaskState stateOf(String job, int index) {
		return this.owner.shard.tasks(TEAM, new JobId(job)).get(index).state();
	}

	Optional<FakeWorker> workerOf(TaskId task) {
		return this.workers.values().stream().filter((worker) -> worker.running().contains(task)).findFirst();
	}

	TaskId id(long sequence, int index) {
		return new TaskId("zone-a-3." + sequence + "." + index);
	}

	void finishAll() {
		for (FakeWorker worker : this.workers.values()) {
			worker.running().forEach(worker::finish);
		}
	}

	private void checkStart(WorkerCommand.Start start) {
		TaskId task = start.task().task();
		assertThat(this.finished).as("finished tasks are not run again").doesNotContain(task);
		assertThat(start.task().checkpoint().orElse(null)).as("resumes from the last complete checkpoint")
			.isEqualTo(this.recordedCheckpoints.get(task));
	}

	void check() {
		Map<TaskId, FakeWorker> placements = new HashMap<>();
		for (FakeWorker worker : this.workers.values()) {
			worker.expire(this.now);
			assertThat(worker.used().fitsWithin(worker.capacity)).as("usage within the capacity of " + worker.vm)
				.isTrue();
			for (TaskId task : worker.running()) {
				FakeWorker other = placements.put(task, worker);
				assertThat(other).as("second placement of task " + task).isNull();
			}
		}
		for (VmCommitment commitment : this.owner.shard.commitments()) {
			Resources bound = this.shrunkVms.contains(commitment.vm().value())
					? this.workers.get(commitment.vm().value()).capacity : commitment.capacity();
			assertThat(commitment.committed().fitsWithin(bound)).as("commitments within the capacity of " + commitment)
				.isTrue();
		}
		for (TaskAction.Respond response : this.accepted) {
			assertThat(this.owner.shard.job(response.team(), response.job())).as("accepted job").isPresent();
		}
	}

}
