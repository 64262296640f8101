package io.lentilstream.benchmarks.tasks;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.SplittableRandom;

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
 * Measures placement decisions per second, bytes of state, log entries per 1,000 starts
 * and recovery time of one shard on one core, by the number of workers and tasks.
 * Arguments: seed, then pairs of workers and tasks.
 */
public final class PlacementDriver {

	private static final int TASKS_PER_JOB = 50;

	private static final int TEAMS = 340;

	private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

	private final SplittableRandom random;

	private final int workers;

	private final int tasks;

	private final List<byte[]> log = new ArrayList<>();

	private final ArrayDeque<TaskAction.Send> commands = new ArrayDeque<>();

	private TaskShard shard;

	private MonotonicTime now = MonotonicTime.ofMillis(1);

	private PlacementDriver(long seed, int workers, int tasks) {
		this.random = new SplittableRandom(seed);
		this.workers = workers;
		this.tasks = tasks;
	}

	/**
	 * Runs the measurement and prints one line per size.
	 * @param arguments seed, then pairs of workers and tasks
	 */
	public static void main(String[] arguments) {
		long seed = Long.parseLong(arguments[0]);
		System.out.println("workers tasks decisions/s bytes/task entries/1000-starts recovery-ms snapshot-kB");
		for (int i = 1; i + 1 < arguments.length; i += 2) {
			int workers = Integer.parseInt(arguments[i]);
			int tasks = Integer.parseInt(arguments[i + 1]);
			System.out.println(new PlacementDriver(seed, workers, tasks).measure());
		}
	}

	private String measure() {
		recover(List.of(), Optional.empty(), 1);
		long emptyBytes = usedBytes();
		int submitted = 0;
		for (int job = 0; submitted < this.tasks; job++) {
			int count = Math.min(TASKS_PER_JOB, this.tasks - submitted);
			// Sizes leave half of the VMs' capacity free when all tasks run.
			Resources size = new Resources(200L + this.random.nextInt(400), 256L + this.random.nextInt(1024), 0);
			TeamId team = new TeamId("team-" + job % TEAMS);
			Urgency urgency = (job % 6 == 0) ? Urgency.URGENT : Urgency.BATCH;
			take(this.shard.submit(JobSubmission.ofEqualTasks(team, new JobId("job-" + job), urgency,
					"program-" + job % 10, size, count), this.now));
			drain();
			submitted += count;
		}
		long bytes = usedBytes() - emptyBytes - logBytes();
		int before = this.log.size();
		long start = System.nanoTime();
		long decisions = churn();
		double seconds = (System.nanoTime() - start) / NANOS_PER_SECOND;
		double entries = 1000.0 * (this.log.size() - before) / decisions;
		byte[] snapshot = this.shard.snapshot();
		long recoveryStart = System.nanoTime();
		recover(List.of(), Optional.of(snapshot), 2);
		double recovery = (System.nanoTime() - recoveryStart) / 1e6;
		return String.format(Locale.ROOT, "%d %d %.0f %d %.1f %.0f %d", this.workers, this.tasks, decisions / seconds,
				bytes / this.tasks, entries, recovery, snapshot.length / 1000);
	}

	/**
	 * Finishes running tasks one at a time and submits as many, so that each start is one
	 * decision in a loaded shard. The time of encoding the log is part of it.
	 * @return the number of starts
	 */
	private long churn() {
		long startsBefore = this.shard.counts(this.now).starts();
		long end = System.nanoTime() + 3 * (long) NANOS_PER_SECOND;
		int job = 0;
		while (System.nanoTime() < end) {
			for (int i = 0; i < 20; i++) {
				Resources size = new Resources(200L + this.random.nextInt(400), 256, 0);
				TeamId team = new TeamId("team-" + this.random.nextInt(TEAMS));
				take(this.shard.submit(JobSubmission.ofEqualTasks(team, new JobId("churn-" + job++), Urgency.BATCH,
						"program-" + job % 10, size, TASKS_PER_JOB), this.now));
				drainFinishing();
			}
			this.now = this.now.plusMillis(50);
			take(this.shard.setCommitDeadline(this.now.plusMillis(10_000), this.now));
		}
		return this.shard.counts(this.now).starts() - startsBefore;
	}

	private void recover(List<byte[]> entries, Optional<byte[]> snapshot, int epoch) {
		RecoveryOutcome outcome = TaskShard.recover(new ShardId("bench", 0), new Epoch(epoch), this.now, false,
				TaskDefaults.settings(), snapshot, entries);
		this.shard = ((RecoveryOutcome.Recovered) outcome).shard();
		List<WorkerDescription> list = new ArrayList<>();
		for (int i = 0; i < this.workers; i++) {
			list.add(new WorkerDescription(new VmId("vm-" + i), new RackId("rack-" + i / 11),
					new Resources(64_000, 256_000, 2), false));
		}
		if (epoch == 1) {
			take(this.shard.updateWorkers(list, this.now));
			take(this.shard.setCommitDeadline(this.now.plusMillis(10_000), this.now));
			take(this.shard.tick(this.now));
			drain();
		}
	}

	private void take(TaskStep step) {
		this.log.addAll(step.entries());
		for (TaskAction action : step.actions()) {
			if (action instanceof TaskAction.Send send) {
				this.commands.add(send);
			}
		}
	}

	private void drain() {
		answerAll(TaskReport.State.RUNNING);
	}

	private void drainFinishing() {
		answerAll(TaskReport.State.DONE);
	}

	private void answerAll(TaskReport.State state) {
		while (!this.commands.isEmpty()) {
			TaskAction.Send send = this.commands.poll();
			List<TaskReport> reports = List.of();
			if (send.command() instanceof WorkerCommand.Start started) {
				reports = List.of(new TaskReport(started.task().task(), state, this.shard.epoch(),
						started.task().resources(), Resources.NONE, 1, Optional.empty(), Optional.empty()));
			}
			take(this.shard.handleCommandOutcome(send.vm(), send.command(), new WorkerOutcome.Done(reports), this.now));
		}
	}

	private long logBytes() {
		return this.log.stream().mapToLong((entry) -> 24 + entry.length).sum();
	}

	private static long usedBytes() {
		for (int i = 0; i < 3; i++) {
			System.gc();
		}
		return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
	}

}
