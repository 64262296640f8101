import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Four minions and sixty jobs of one task each, which saves its progress. The tasks
 * work for 300 to 595 s, or for 20 s without the trouble. Nothing is disrupted. Checks
 * what the rule LOST says of jobs that have nothing running for 3 s, from
 * {@code finish_s} after the last job was handed in.
 */
final class LongTasks {

	private static final long FINISH_MILLIS = 14_000;

	private static final long WINDOW_MILLIS = 3000;

	private static final long WATCH_MILLIS = 60_000;

	private static final int JOBS = 60;

	private static final int SERVERS = 4;

	private static final long CPU = 1000;

	private LongTasks() {
	}

	public static void main(String[] arguments) {
		Harness.play(arguments, LongTasks::play);
	}

	private static void play(Harness harness) throws Exception {
		harness.configure("svc", Map.of("long", 3));
		for (int i = 1; i <= SERVERS; i++) {
			harness.minions.add(new Minion(harness.store, "svc", i, "r1-1", 32_000, 128_000));
		}
		harness.startNodes(3);
		harness.awaitLeader();
		Thread.sleep(2000);
		List<Jobs.Job> jobs = new ArrayList<>();
		for (int i = 0; i < JOBS; i++) {
			Jobs.Step step = new Jobs.Step().size(1, CPU, 6400).work(Harness.TROUBLE ? 300_000 + i * 5000 : 20_000);
			step.checkpointing = true;
			Jobs.Job job = Jobs.create("long", step);
			if (!harness.submit(job)) {
				harness.finish(Harness.NOT_RUN, "a job was not accepted");
			}
			jobs.add(job);
			Thread.sleep(150);
		}
		long judgedFrom = Record.now() + FINISH_MILLIS;
		long until = judgedFrom + WATCH_MILLIS;
		long[] idleSince = new long[jobs.size()];
		long longestIdle = 0;
		int broken = 0;
		while (Record.now() < until) {
			long now = Record.now();
			List<Minion.Run> runs = Minion.runsSoFar();
			long used = harness.minions.stream().mapToLong(Minion::usedCpu).sum();
			boolean underHalf = used < SERVERS * 32_000 / 2;
			for (int i = 0; i < jobs.size(); i++) {
				String id = jobs.get(i).id;
				boolean running = runs.stream().anyMatch((run) -> run.task.startsWith(id) && run.endedAt < 0);
				boolean done = runs.stream().anyMatch((run) -> run.task.startsWith(id) && run.how.equals("done"));
				if (running || done || !underHalf || now < judgedFrom) {
					idleSince[i] = now;
				}
				else {
					long idle = now - idleSince[i];
					longestIdle = Math.max(longestIdle, idle);
					if (idle >= WINDOW_MILLIS) {
						broken++;
						Record.line("LOST: job " + id + " has had nothing running for " + idle
								+ " ms; in use are " + used + " of " + SERVERS * 32_000 + " thousandths of a core");
						idleSince[i] = now;
					}
				}
			}
			Thread.sleep(20);
		}
		int stopped = 0;
		for (Jobs.Job job : jobs) {
			List<Minion.Run> runs = Minion.runsSoFar().stream().filter((run) -> run.task.startsWith(job.id)).toList();
			long stops = runs.stream().filter((run) -> run.how.equals("stopped")).count();
			stopped += stops;
			Record.line("job " + job.id + ": " + harness.state(job) + ", " + runs.size() + " runs, " + stops
					+ " stopped; the longest worked for "
					+ runs.stream().mapToLong((run) -> run.workedMillis).max().orElse(0) + " ms");
		}
		Record.line("longest time with nothing running: " + longestIdle + " ms");
		if (broken > 0) {
			harness.finish(Harness.BROKEN, "LOST: " + broken + " times a job had nothing running for 3 s; " + stopped
					+ " sound runs were stopped");
		}
		harness.finish(Harness.HELD, "no job had nothing running for 3 s; " + stopped + " runs were stopped");
	}

}
