import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Four minions. Twenty small jobs of an urgent queue come, one of which can never be
 * done: its gang of 36 tasks is wider than the service. Among them come ten jobs of a
 * less urgent queue, which fit easily. Checks what the rule LOST says of jobs that have
 * nothing running for 3 s, from {@code finish_s} after the last job was handed in.
 * Without the trouble all jobs can be done.
 */
final class GangBlocks {

	private static final int SERVERS = 4;

	private static final long SERVER_CPU = 32_000;

	private static final int JOBS = 10;

	/** Which of the urgent jobs can never be done. */
	private static final int HOPELESS = 6;

	private static final long FINISH_MILLIS = 14_000;

	private static final long WINDOW_MILLIS = 3000;

	private static final long WATCH_MILLIS = 40_000;

	private GangBlocks() {
	}

	public static void main(String[] arguments) {
		Harness.play(arguments, GangBlocks::play);
	}

	private static void play(Harness harness) throws Exception {
		harness.configure("svc", Map.of("confirm", 2, "payout", 3), Map.of("confirm", 0, "payout", 2));
		for (int i = 1; i <= SERVERS; i++) {
			harness.minions.add(new Minion(harness.store, "svc", i, "r1-1", SERVER_CPU, 128_000));
		}
		harness.startNodes(3);
		harness.awaitLeader();
		Thread.sleep(2000);
		List<Jobs.Job> jobs = new ArrayList<>();
		for (int i = 0; i < 2 * JOBS; i++) {
			boolean hopeless = Harness.TROUBLE && i == HOPELESS;
			Jobs.Step confirm = new Jobs.Step().size(hopeless ? 36 : 6, 4000, 6200).work(850);
			confirm.gang = true;
			submit(harness, Jobs.create("confirm", confirm));
			if (i % 2 == 1) {
				Jobs.Job job = Jobs.create("payout", new Jobs.Step().size(8, 4000, 6400).work(1400));
				submit(harness, job);
				jobs.add(job);
			}
			Thread.sleep(250);
		}
		long judgedFrom = Record.now() + FINISH_MILLIS;
		long until = judgedFrom + WATCH_MILLIS;
		long[] idleSince = new long[JOBS];
		boolean[] broken = new boolean[JOBS];
		while (Record.now() < until) {
			long now = Record.now();
			List<Minion.Run> runs = Minion.runsSoFar();
			long used = harness.minions.stream().mapToLong(Minion::usedCpu).sum();
			for (int i = 0; i < JOBS; i++) {
				String id = jobs.get(i).id;
				boolean running = runs.stream().anyMatch((run) -> run.task.startsWith(id) && run.endedAt < 0);
				long done = runs.stream().filter((run) -> run.task.startsWith(id) && run.how.equals("done")).count();
				if (running || done >= 8 || 2 * used >= SERVERS * SERVER_CPU || now < judgedFrom) {
					idleSince[i] = now;
				}
				else if (now - idleSince[i] >= WINDOW_MILLIS && !broken[i]) {
					broken[i] = true;
					Record.line("LOST: job " + id + " has had nothing running for 3 s, " + done
							+ " of its 8 tasks are done, and " + used + " of " + SERVERS * SERVER_CPU
							+ " thousandths of a core are in use; it is shown as " + harness.state(jobs.get(i)));
				}
			}
			Thread.sleep(20);
		}
		int count = 0;
		for (int i = 0; i < JOBS; i++) {
			Record.line("job " + jobs.get(i).id + " is shown as " + harness.state(jobs.get(i)));
			count += broken[i] ? 1 : 0;
		}
		if (count > 0) {
			harness.finish(Harness.BROKEN, "LOST: " + count + " of " + JOBS + " jobs had nothing running");
		}
		harness.finish(Harness.HELD, "all jobs went on");
	}

	private static void submit(Harness harness, Jobs.Job job) throws InterruptedException {
		if (!harness.submit(job)) {
			harness.finish(Harness.NOT_RUN, "a job was not accepted");
		}
	}

}
