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
 * Holds fake workers, a list as the shard log, and the present and earlier owners, and
 * checks the guarantees after each event.
 */
final class ShardWorld {

	static final ShardId SHARD = new ShardId("zone-a", 3);

	static final TeamId TEAM = new TeamId("ash");

	static final TeamId OTHER_TEAM = new TeamId("bark");

	static final String PROGRAM = "reconcile";

	static final Duration ENTRY_LEASE = Duration.ofSeconds(10);

	final TaskSettings settings;

	final Map<String, FakeWorker> workers = new LinkedHashMap<>();

	final Set<String> leaving = new HashSet<>();

	/** VMs whose commitments may exceed their listed capacity for a while. */
	final Set<String> shrunk = new HashSet<>();

	final List<byte[]> log = new ArrayList<>();

	final Set<TaskAction.Respond> accepted = new LinkedHashSet<>();

	FakeOwner owner;

	/** Earlier owners that do not know yet that they were replaced. */
	final List<FakeOwner> earlier = new ArrayList<>();

	MonotonicTime now = MonotonicTime.ofMillis(-5_000);

	private byte[] snapshot;

	private int snapshotPosition;

	/** Newest checkpoint of each task in the log. */
	private final Map<TaskId, String> recorded = new HashMap<>();

	private final Set<TaskId> finished = new HashSet<>();

	ShardWorld(int workerCount, TaskSettings settings) {
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
	 * Replaces the owner. The earlier one goes on until it notices, unless it is dead.
	 * @param released whether the earlier owner stopped before and said so
	 * @param dead whether the earlier owner died
	 */
	void takeOver(boolean released, boolean dead) {
		if (this.owner != null) {
			if (released || dead) {
				this.owner.uncommitted.clear();
			}
			this.owner.inbox.clear();
			if (released) {
				this.owner.outbox.clear();
			}
			if (!released && !dead) {
				this.earlier.add(this.owner);
			}
		}
		Epoch epoch = (this.owner != null) ? this.owner.shard.epoch().next() : new Epoch(1);
		RecoveryOutcome outcome = TaskShard.recover(SHARD, epoch, this.now, released, this.settings,
				Optional.ofNullable(this.snapshot),
				List.copyOf(this.log.subList(this.snapshotPosition, this.log.size())));
		this.owner = new FakeOwner(((RecoveryOutcome.Recovered) outcome).shard());
		renewEntryLease();
		list();
	}

	void renewEntryLease() {
		this.owner.commitDeadline = this.now.plus(ENTRY_LEASE);
		this.owner.take(this.owner.shard.setCommitDeadline(this.owner.commitDeadline, this.now), this.now);
	}

	void list() {
		List<WorkerDescription> list = new ArrayList<>();
		for (FakeWorker worker : this.workers.values()) {
			int number = Integer.parseInt(worker.vm.value().substring(3));
			list.add(new WorkerDescription(worker.vm, new RackId("rack-" + number % 3), worker.listed,
					this.leaving.contains(worker.vm.value())));
		}
		this.owner.take(this.owner.shard.updateWorkers(list, this.now), this.now);
	}

	void submit(JobSubmission job) {
		this.owner.take(this.owner.shard.submit(job, this.now), this.now);
	}

	/**
	 * Sends reports that are not the outcome of a command.
	 * @param worker the worker
	 */
	void report(FakeWorker worker) {
		this.owner.take(this.owner.shard.handleReports(worker.vm, worker.reports(), this.now), this.now);
	}

	void cancel(String key) {
		this.owner.take(this.owner.shard.cancel(TEAM, new JobId(key), this.now), this.now);
	}

	/**
	 * Keeps a snapshot, as the daemon does while no entry is on its way.
	 */
	void takeSnapshot() {
		if (this.owner.uncommitted.isEmpty()) {
			this.snapshot = this.owner.shard.snapshot();
			this.snapshotPosition = Math.max(0, this.log.size() - 2);
		}
	}

	/**
	 * Makes the entries of the first waiting step durable and runs its actions.
	 * @param from the owner
	 * @param told whether the owner learns of it
	 */
	void commit(FakeOwner from, boolean told) {
		TaskStep step = from.uncommitted.poll();
		if (step == null || from != this.owner) {
			// Appends of earlier owners are refused by the epoch marker.
			return;
		}
		for (byte[] entry : step.entries()) {
			append(entry);
		}
		if (told) {
			int before = from.told.size();
			from.run(step, this.now);
			for (TaskAction.Respond tell : from.told.subList(before, from.told.size())) {
				if (tell.response() instanceof JobResponse.Accepted) {
					this.accepted.add(tell);
				}
			}
		}
	}

	private void append(byte[] bytes) {
		this.log.add(bytes);
		TaskLogEntry entry = ((LogDecodeOutcome.Decoded) TaskLogCodec.decode(bytes)).entry();
		if (entry instanceof TaskLogEntry.CheckpointRecorded checkpoint) {
			this.recorded.put(id(checkpoint.jobSequence(), checkpoint.index()), checkpoint.checkpoint());
		}
		else if (entry instanceof TaskLogEntry.TasksFinished tasks) {
			tasks.tasks().forEach((key) -> this.finished.add(id(key.jobSequence(), key.index())));
		}
	}

	/**
	 * Delivers a command.
	 * @param from the owner
	 * @param index the position in its outbox
	 * @param replyArrives whether the reply is not lost
	 */
	void deliver(FakeOwner from, int index, boolean replyArrives) {
		FakeOwner.Sent sent = from.outbox.remove(index);
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
				// The reply is still awaited.
				return;
			}
			outcome = replyArrives ? reply : outcome;
			if (send.command() instanceof WorkerCommand.Start start && !(reply instanceof WorkerOutcome.Fenced)) {
				checkStart(start);
			}
		}
		from.inbox.add(new FakeOwner.Answer(send, outcome));
		check();
	}

	void answer(FakeOwner from, int index) {
		FakeOwner.Answer answer = from.inbox.remove(index);
		from.take(from.shard.handleCommandOutcome(answer.send().vm(), answer.send().command(), answer.outcome(),
				this.now), this.now);
	}

	void advance(Duration time) {
		this.now = this.now.plus(time);
		this.workers.values().forEach((worker) -> worker.expire(this.now));
		tick(this.owner);
		this.earlier.forEach(this::tick);
		check();
	}

	private void tick(FakeOwner from) {
		from.take(from.shard.tick(this.now), this.now);
		from.take(from.shard.tick(this.now), this.now);
	}

	/**
	 * Runs without faults: every step is committed, every command delivered.
	 * @param seconds the virtual seconds
	 */
	void run(int seconds) {
		for (int tenth = 0; tenth < 10 * seconds; tenth++) {
			settle();
			if (tenth % 30 == 0) {
				renewEntryLease();
			}
			advance(Duration.ofMillis(100));
		}
		settle();
	}

	/**
	 * Runs without faults in steps of a second.
	 * @param time the virtual time
	 */
	void pass(Duration time) {
		for (long second = 0; second < time.toSeconds(); second++) {
			renewEntryLease();
			settle();
			advance(Duration.ofSeconds(1));
		}
		settle();
	}

	void settle() {
		for (int round = 0; round < 10_000 && !isQuiet(); round++) {
			while (!this.owner.uncommitted.isEmpty()) {
				commit(this.owner, true);
			}
			while (!this.owner.outbox.isEmpty()) {
				deliver(this.owner, 0, true);
			}
			while (!this.owner.inbox.isEmpty()) {
				answer(this.owner, 0);
			}
		}
		assertThat(isQuiet()).as("owner does not send commands without end").isTrue();
	}

	private boolean isQuiet() {
		return this.owner.uncommitted.isEmpty() && this.owner.outbox.isEmpty() && this.owner.inbox.isEmpty();
	}

	/**
	 * Returns where the placed tasks of a job are.
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
	 * Sets what the tasks of a job report.
	 * @param job the key of the job of the first team
	 * @param use the measured use
	 * @param slowdown the measured run time relative to an undisturbed run
	 */
	void measure(String job, Resources use, double slowdown) {
		for (TaskView task : this.owner.shard.tasks(TEAM, new JobId(job))) {
			workerOf(task.task()).ifPresent((worker) -> worker.runs.get(task.task()).measure(use, slowdown));
		}
	}

	/**
	 * Makes a worker fail everything until it is on probation, and ends all tasks.
	 * @param worker the worker
	 */
	void putOnProbation(FakeWorker worker) {
		worker.failures.put("*", "disk");
		for (int i = 0; i < 8; i++) {
			// Together the jobs need all workers, so that this one is not avoided.
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
		assertThat(this.finished).as("finished work is not run again").doesNotContain(task);
		assertThat(start.task().checkpoint().orElse(null)).as("resumes from the last complete checkpoint")
			.isEqualTo(this.recorded.get(task));
	}

	void check() {
		Map<TaskId, FakeWorker> places = new HashMap<>();
		for (FakeWorker worker : this.workers.values()) {
			worker.expire(this.now);
			assertThat(worker.used().fitsWithin(worker.capacity)).as("use within the capacity of " + worker.vm)
				.isTrue();
			for (TaskId task : worker.running()) {
				FakeWorker other = places.put(task, worker);
				assertThat(other).as("second place of task " + task).isNull();
			}
		}
		for (VmCommitment commitment : this.owner.shard.commitments()) {
			Resources bound = this.shrunk.contains(commitment.vm().value())
					? this.workers.get(commitment.vm().value()).capacity : commitment.capacity();
			assertThat(commitment.committed().fitsWithin(bound)).as("commitments within the capacity of " + commitment)
				.isTrue();
		}
		for (TaskAction.Respond tell : this.accepted) {
			assertThat(this.owner.shard.job(tell.team(), tell.job())).as("accepted job").isPresent();
		}
	}

}
