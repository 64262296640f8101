package io.lentilstream.benchmarks.tasks.baselines;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import io.lentilstream.model.Resources;
import io.lentilstream.model.Urgency;

/**
 * Measures the store writes of one shard per 1,000 starts, with the shard log over a
 * store in memory and in virtual time. Arguments: starts per second.
 */
public final class StoreWritesDriver {

	private static final int WORKERS = 400;

	private static final int TASKS_PER_JOB = 50;

	private static final double TASK_SECONDS = 10;

	private static final long RUN_MILLIS = Duration.ofMinutes(5).toMillis();

	private static final long WARM_UP_MILLIS = Duration.ofMinutes(1).toMillis();

	private static final long RECOVERY_MILLIS = 1000;

	private static final Resources SIZE = new Resources(100, 100, 0);

	private StoreWritesDriver() {
	}

	/**
	 * Runs the measurement and prints one line per rate.
	 * @param arguments the starts per second
	 */
	public static void main(String[] arguments) {
		for (String argument : arguments) {
			System.out.println(measure(Integer.parseInt(argument), WORKERS, WARM_UP_MILLIS, RUN_MILLIS));
		}
	}

	static Rate measure(int startsPerSecond, int workers, long warmUpMillis, long endMillis) {
		EventQueue events = new EventQueue();
		StoreLog log = new StoreLog(events);
		events.runUntil(RECOVERY_MILLIS);
		if (!log.isOpen()) {
			throw new IllegalStateException("the log is not recovered");
		}
		Results results = new Results("store writes");
		TaskShardPolicy policy = new TaskShardPolicy(events, new Cluster(events, workers, results), results, log);
		log.snapshotsFrom(() -> policy.shard().snapshot());
		SimulatedProgram program = new SimulatedProgram("program", "team", SIZE, 1, 1, 0, 0);
		long interval = 1000L * TASKS_PER_JOB / startsPerSecond;
		int[] jobs = new int[1];
		events.every(interval, interval, () -> {
			SimulatedJob job = new SimulatedJob("job-" + jobs[0]++, events.millis(), program, Urgency.BATCH, SIZE,
					TASKS_PER_JOB);
			List<SimulatedTask> tasks = new ArrayList<>();
			for (int i = 0; i < TASKS_PER_JOB; i++) {
				tasks.add(new SimulatedTask(job, i, SIZE, TASK_SECONDS, TASK_SECONDS));
			}
			policy.submit(job, tasks);
		});
		events.runUntil(warmUpMillis);
		long starts = results.starts;
		long writes = log.writes();
		events.runUntil(endMillis);
		return new Rate(results.starts - starts, log.writes() - writes, (endMillis - warmUpMillis) / 1000.0,
				log.refused());
	}

	/**
	 * Is what was counted at one rate.
	 *
	 * @param starts the starts that reached a worker
	 * @param writes the store writes, with those of snapshots
	 * @param seconds the virtual time
	 * @param refused the appends that the log refused
	 */
	record Rate(long starts, long writes, double seconds, long refused) {

		double writesPerThousandStarts() {
			return 1000.0 * this.writes / this.starts;
		}

		@Override
		public String toString() {
			return String.format(Locale.ROOT,
					"%.0f starts/s: %.2f store writes/s, %.1f writes per 1,000 starts (target 20), refused appends %d",
					this.starts / this.seconds, this.writes / this.seconds, writesPerThousandStarts(), this.refused);
		}

	}

}
