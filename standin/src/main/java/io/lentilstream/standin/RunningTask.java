package io.lentilstream.standin;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

import io.lentilstream.clients.TaskReport;
import io.lentilstream.clients.TaskSpecification;
import io.lentilstream.model.Epoch;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.Resources;
import io.lentilstream.model.ShardId;

/**
 * Is a task at a worker, running or ended. Guarded by the lock of its worker.
 */
final class RunningTask {

	private static final String CHECKPOINT_PREFIX = "progress-us:";

	private final TaskSpecification specification;

	private final Program program;

	private final ShardId shard;

	private final Epoch epoch;

	private final Deque<Sample> samples = new ArrayDeque<>();

	private TaskReport.State state = TaskReport.State.RUNNING;

	private MonotonicTime leaseDeadline;

	private MonotonicTime settledAt;

	private double progressNanos;

	private double rate = 1;

	private double share = 1;

	private Optional<String> checkpoint;

	private Optional<String> failure = Optional.empty();

	private TaskRun run;

	RunningTask(TaskSpecification specification, Program program, ShardId shard, Epoch epoch, MonotonicTime now,
			MonotonicTime leaseDeadline) {
		this.specification = specification;
		this.program = program;
		this.shard = shard;
		this.epoch = epoch;
		this.settledAt = now;
		this.leaseDeadline = leaseDeadline;
		this.checkpoint = specification.checkpoint();
		this.progressNanos = this.checkpoint.map(RunningTask::progressOf).orElse(0L);
	}

	/**
	 * Returns the progress that a checkpoint holds.
	 * @param checkpoint the checkpoint
	 * @return nanoseconds of undisturbed run time; 0 for an unreadable checkpoint
	 */
	static long progressOf(String checkpoint) {
		if (!checkpoint.matches(CHECKPOINT_PREFIX + "\\d{1,15}")) {
			return 0;
		}
		return Long.parseLong(checkpoint.substring(CHECKPOINT_PREFIX.length())) * 1_000;
	}

	TaskSpecification specification() {
		return this.specification;
	}

	Program program() {
		return this.program;
	}

	ShardId shard() {
		return this.shard;
	}

	boolean isRunning() {
		return this.state == TaskReport.State.RUNNING;
	}

	boolean isDone() {
		return this.state == TaskReport.State.DONE;
	}

	double share() {
		return this.share;
	}

	void throttle(double newShare) {
		this.share = newShare;
	}

	void renew(MonotonicTime deadline) {
		this.leaseDeadline = deadline;
	}

	void run(TaskRun newRun) {
		this.run = newRun;
	}

	TaskRun run() {
		return this.run;
	}

	Duration progress() {
		return Duration.ofNanos((long) this.progressNanos);
	}

	/**
	 * Returns when the task ends if nothing changes.
	 * @return the end of the lease or of the program, whichever is first
	 */
	MonotonicTime nextEnd() {
		MonotonicTime finish = finishTime();
		return (finish != null && !finish.isAfter(this.leaseDeadline)) ? finish : this.leaseDeadline;
	}

	private MonotonicTime finishTime() {
		double left = Math.max(0, this.program.runTime().toNanos() - this.progressNanos);
		if (this.rate <= 0) {
			return null;
		}
		return this.settledAt.plus(Duration.ofNanos((long) Math.ceil(left / this.rate)));
	}

	void advance(MonotonicTime time) {
		this.progressNanos += this.rate * this.settledAt.until(time).toNanos();
		this.settledAt = time;
	}

	/**
	 * Ends the task at its own next end.
	 */
	void endAsScheduled() {
		MonotonicTime finish = finishTime();
		if (finish == null || finish.isAfter(this.leaseDeadline)) {
			advance(this.leaseDeadline);
			end(TaskReport.State.STOPPED, Optional.of("lease expired"));
			return;
		}
		advance(finish);
		this.progressNanos = this.program.runTime().toNanos();
		boolean failed = this.program.failure().isPresent();
		end(failed ? TaskReport.State.FAILED : TaskReport.State.DONE, this.program.failure());
	}

	void end(TaskReport.State end, Optional<String> reason) {
		this.state = end;
		this.failure = reason;
	}

	MonotonicTime settledAt() {
		return this.settledAt;
	}

	void takeCheckpoint() {
		this.checkpoint = Optional.of(CHECKPOINT_PREFIX + (long) (this.progressNanos / 1_000));
	}

	void changeSpeed(MonotonicTime now, double slowdown) {
		this.rate = this.share / slowdown;
		Resources declared = this.specification.resources();
		Resources used = new Resources(Math.round(declared.milliCores() * this.program.use() * this.share),
				Math.round(declared.memoryMegabytes() * this.program.use()), declared.accelerators());
		this.samples.add(new Sample(now, used, slowdown));
	}

	TaskReport report(MonotonicTime measuredAt) {
		while (this.samples.size() > 1 && !second().time().isAfter(measuredAt)) {
			this.samples.poll();
		}
		Sample sample = this.samples.peek();
		boolean measured = sample != null && !sample.time().isAfter(measuredAt);
		return new TaskReport(this.specification.task(), this.state, this.epoch, this.specification.resources(),
				measured ? sample.used() : Resources.NONE, measured ? sample.slowdown() : 1, this.checkpoint,
				this.failure);
	}

	private Sample second() {
		return this.samples.stream().skip(1).findFirst().orElseThrow();
	}

	private record Sample(MonotonicTime time, Resources used, double slowdown) {
	}

}
