package io.lentilstream.standin;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import io.lentilstream.clients.TaskReport;
import io.lentilstream.clients.TaskSpecification;
import io.lentilstream.clients.http.PlatformJson;
import io.lentilstream.clients.http.PlatformMessages.ErrorAnswer;
import io.lentilstream.clients.http.PlatformMessages.FencedAnswer;
import io.lentilstream.clients.http.PlatformMessages.ReportMessage;
import io.lentilstream.clients.http.PlatformMessages.ReportsAnswer;
import io.lentilstream.clients.http.PlatformMessages.WorkerCommand;
import io.lentilstream.model.Epoch;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.Resources;
import io.lentilstream.model.ShardId;
import io.lentilstream.model.TaskId;

/**
 * Runs tasks under leases. It does not refuse a start that exceeds its capacity, so that
 * an excess commitment is seen in its record.
 */
final class StandinWorker implements RequestHandler {

	/**
	 * Ended tasks that are reported; older ones are forgotten.
	 */
	private static final int KEPT_ENDED = 10_000;

	private final Topology.WorkerVm vm;

	private final TimerQueue timers;

	private final RunRecords records;

	private final Duration usageLag;

	private final WorkerFaults faults = new WorkerFaults(this);

	private final Map<ShardId, Epoch> epochs = new HashMap<>();

	private final Map<TaskId, RunningTask> tasks = new LinkedHashMap<>();

	/**
	 * The tasks that run, so that a command costs nothing for ended ones.
	 */
	private final Set<RunningTask> running = new LinkedHashSet<>();

	private Resources highest = Resources.NONE;

	private boolean overCapacity;

	private long starts;

	private long fenced;

	StandinWorker(Topology.WorkerVm vm, TimerQueue timers, RunRecords records, Duration usageLag) {
		this.vm = vm;
		this.timers = timers;
		this.records = records;
		this.usageLag = usageLag;
	}

	WorkerFaults faults() {
		return this.faults;
	}

	@Override
	public void handle(StandinRequest request, Consumer<Reply> answer) {
		if (this.faults.isSilent()) {
			return;
		}
		Reply reply = PlatformJson.read(request.body(), WorkerCommand.class)
			.map((command) -> carryOut(request.path().substring(1), command))
			.orElseGet(StandinRouter::badRequest);
		answer.accept(this.faults.isLosingReplies() ? Reply.closed() : reply);
	}

	private synchronized Reply carryOut(String name, WorkerCommand command) {
		if (this.faults.refusal() != null) {
			return refusal(this.faults.refusal());
		}
		ShardId shard = new ShardId(command.scope(), command.shard());
		Epoch epoch = new Epoch(command.epoch());
		Epoch seen = this.epochs.getOrDefault(shard, Epoch.NONE);
		if (epoch.compareTo(seen) < 0) {
			this.fenced++;
			return Reply.json(409, new FencedAnswer(seen.value()));
		}
		this.epochs.put(shard, epoch);
		settle();
		if (command.notAfterMillis() != null && command.notAfterMillis() <= this.timers.wallClockMillis()) {
			return refusal("command arrived after the end of its lease");
		}
		return switch (name) {
			case "start" -> start(shard, epoch, PlatformJson.specification(command.start()), leaseEnd(command));
			case "renew" -> renew(shard, leaseEnd(command));
			case "checkpoint" -> change(command.tasks().get(0), RunningTask::takeCheckpoint);
			case "throttle" -> change(command.tasks().get(0), (task) -> task.throttle(command.share()));
			case "stop" -> stop(command.tasks());
			default -> StandinRouter.notFound();
		};
	}

	private MonotonicTime leaseEnd(WorkerCommand command) {
		long millis = command.leaseMillis();
		if (command.notAfterMillis() != null) {
			millis = Math.min(millis, command.notAfterMillis() - this.timers.wallClockMillis());
		}
		return this.timers.now().plusMillis(millis);
	}

	private static Reply refusal(String reason) {
		return Reply.json(422, new ErrorAnswer(false, reason));
	}

	private Reply start(ShardId shard, Epoch epoch, TaskSpecification specification, MonotonicTime leaseEnd) {
		RunningTask known = this.tasks.get(specification.task());
		if (known != null && (known.isRunning() || known.isDone())) {
			return reports(List.of(known));
		}
		Optional<Program> program = Program.parse(specification.program());
		if (program.isEmpty()) {
			return refusal("unknown program");
		}
		MonotonicTime now = this.timers.now();
		RunningTask task = new RunningTask(specification, program.get(), shard, epoch, now, leaseEnd);
		this.tasks.remove(specification.task());
		this.tasks.put(specification.task(), task);
		this.running.add(task);
		task.run(new TaskRun(this.vm.vm(), now, Optional.empty(), TaskReport.State.RUNNING, task.progress(),
				task.progress()));
		this.records.startTask(specification.task(), task.run());
		this.starts++;
		noteCommitment();
		if (this.faults.failure() != null) {
			task.end(TaskReport.State.FAILED, Optional.of(this.faults.failure()));
			recordEnd(task);
		}
		forgetOldest();
		changeSpeeds();
		return reports(List.of(task));
	}

	private void noteCommitment() {
		Resources sum = Resources.NONE;
		for (RunningTask task : this.running) {
			sum = sum.plus(task.specification().resources());
		}
		this.highest = new Resources(Math.max(this.highest.milliCores(), sum.milliCores()),
				Math.max(this.highest.memoryMegabytes(), sum.memoryMegabytes()),
				Math.max(this.highest.accelerators(), sum.accelerators()));
		this.overCapacity |= !sum.fitsWithin(this.vm.capacity());
	}

	private void forgetOldest() {
		if (this.tasks.size() <= KEPT_ENDED) {
			return;
		}
		for (RunningTask task : this.tasks.values()) {
			if (!task.isRunning()) {
				this.tasks.remove(task.specification().task());
				return;
			}
		}
	}

	private Reply renew(ShardId shard, MonotonicTime deadline) {
		List<RunningTask> reported = new ArrayList<>();
		for (RunningTask task : this.tasks.values()) {
			if (task.shard().equals(shard)) {
				task.renew(deadline);
				reported.add(task);
			}
		}
		scheduleNextEnd();
		return reports(reported);
	}

	private Reply change(String id, Consumer<RunningTask> change) {
		RunningTask task = this.tasks.get(new TaskId(id));
		if (task == null) {
			return refusal("unknown task");
		}
		if (task.isRunning()) {
			change.accept(task);
			changeSpeeds();
		}
		return reports(List.of(task));
	}

	private Reply stop(List<String> ids) {
		List<ReportMessage> reports = new ArrayList<>();
		for (String id : ids) {
			RunningTask task = this.tasks.get(new TaskId(id));
			if (task == null) {
				reports.add(PlatformJson.message(new TaskReport(new TaskId(id), TaskReport.State.STOPPED, Epoch.NONE,
						Resources.NONE, Resources.NONE, 1, Optional.empty(), Optional.empty())));
				continue;
			}
			if (task.isRunning()) {
				task.end(TaskReport.State.STOPPED, Optional.of("stopped"));
				recordEnd(task);
			}
			reports.add(PlatformJson.message(task.report(measuredAt())));
		}
		changeSpeeds();
		return Reply.json(200, new ReportsAnswer(reports));
	}

	private Reply reports(List<RunningTask> reported) {
		MonotonicTime measuredAt = measuredAt();
		return Reply.json(200, new ReportsAnswer(
				reported.stream().map((task) -> PlatformJson.message(task.report(measuredAt))).toList()));
	}

	private MonotonicTime measuredAt() {
		return this.timers.now().plus(this.usageLag.negated());
	}

	// Ends, in their order, the tasks whose lease or program ended until now. The speed
	// of the others changes at each end.
	private void settle() {
		MonotonicTime now = this.timers.now();
		while (true) {
			RunningTask first = firstToEnd();
			if (first == null || first.nextEnd().isAfter(now)) {
				break;
			}
			MonotonicTime end = first.nextEnd();
			for (RunningTask task : this.running) {
				if (task != first) {
					task.advance(end);
				}
			}
			first.endAsScheduled();
			recordEnd(first);
			setSpeeds(end);
		}
		this.running.forEach((task) -> task.advance(now));
	}

	private RunningTask firstToEnd() {
		RunningTask first = null;
		for (RunningTask task : this.running) {
			if (first == null || task.nextEnd().isBefore(first.nextEnd())) {
				first = task;
			}
		}
		return first;
	}

	private void recordEnd(RunningTask task) {
		this.running.remove(task);
		TaskRun ended = new TaskRun(this.vm.vm(), task.run().from(), Optional.of(task.settledAt()), stateOf(task),
				task.run().resumedFrom(), task.progress());
		this.records.endTask(task.specification().task(), task.run(), ended);
		task.run(ended);
	}

	private TaskReport.State stateOf(RunningTask task) {
		return task.report(measuredAt()).state();
	}

	private void changeSpeeds() {
		setSpeeds(this.timers.now());
		scheduleNextEnd();
	}

	private void setSpeeds(MonotonicTime time) {
		double noise = 0;
		double used = 0;
		for (RunningTask task : this.running) {
			noise += task.program().noise();
			used += task.specification().resources().milliCores() * task.program().use() * task.share();
		}
		double contention = Math.max(1, used / Math.max(1, this.vm.capacity().milliCores()));
		for (RunningTask task : this.running) {
			task.changeSpeed(time, (1 + noise - task.program().noise()) * contention);
		}
	}

	private void scheduleNextEnd() {
		RunningTask first = firstToEnd();
		if (first != null) {
			this.timers.at(first.nextEnd(), this::settleInTime);
		}
	}

	private synchronized void settleInTime() {
		settle();
		scheduleNextEnd();
	}

	synchronized void crash() {
		settle();
		for (RunningTask task : List.copyOf(this.running)) {
			task.end(TaskReport.State.STOPPED, Optional.of("VM failed"));
			recordEnd(task);
		}
		this.tasks.clear();
		this.epochs.clear();
	}

	synchronized WorkerRecord record() {
		settle();
		return new WorkerRecord(this.highest, this.overCapacity, this.starts, this.fenced);
	}

}
