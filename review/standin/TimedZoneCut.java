import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Two zones of three minions each, and twelve jobs that run every 4.5 s, four times, at
 * moments spread over this time. The zone of the leader is cut off from the other one and from the store for 5.5 s: the leader has
 * no path to the store and to the minions of the other zone, the processes of the other
 * zone have none to the minions of the leader's, and the platform drops the entries of
 * these. The links between the processes stay, which decides nothing here. Checks the
 * rule TWICE. Without the trouble nothing is cut.
 */
final class TimedZoneCut {

	private static final long CUT_MILLIS = 5500;

	/** The platform drops the entry after three heartbeat intervals of silence. */
	private static final long DROP_MILLIS = 3300;

	private static final int JOBS = 12;

	private static final int TASKS = 6;

	private static final int REPEATS = 4;

	private static final long INTERVAL_MILLIS = 4500;

	private TimedZoneCut() {
	}

	public static void main(String[] arguments) {
		Harness.play(arguments, TimedZoneCut::play);
	}

	private static void play(Harness harness) throws Exception {
		harness.configure("svc", Map.of("timed", 3));
		for (int i = 1; i <= 6; i++) {
			harness.minions.add(new Minion(harness.store, "svc", i, "r1-" + (1 + i / 4), 32_000, 128_000));
		}
		harness.startNodes(3);
		Harness.Node leader = harness.awaitLeader();
		Thread.sleep(3000);
		List<Jobs.Job> jobs = new ArrayList<>();
		long firstRunMillis = System.currentTimeMillis() + 2000;
		for (int i = 0; i < JOBS; i++) {
			Jobs.Job job = Jobs.create("timed", new Jobs.Step().size(TASKS, 3100, 6200).work(850));
			job.repeats = REPEATS;
			job.firstRunMillis = firstRunMillis + i * INTERVAL_MILLIS / JOBS;
			job.intervalMillis = INTERVAL_MILLIS;
			if (!harness.submit(job)) {
				harness.finish(Harness.NOT_RUN, "a job was not accepted");
			}
			jobs.add(job);
		}
		Thread.sleep(8000);
		if (Harness.TROUBLE) {
			long token = harness.minions.get(0).highestFence();
			Record.line("the zone of " + leader.name + " with i-0001 to i-0003 is cut off; its token is " + token);
			leader.door.cut(true);
			for (Minion minion : harness.minions) {
				boolean inside = harness.minions.indexOf(minion) < 3;
				// The other side's holder has a higher token, which is not known yet.
				minion.reachedOnlyBy = inside ? token : -1;
			}
			long until = Record.now() + CUT_MILLIS;
			long dropAt = Record.now() + DROP_MILLIS;
			while (Record.now() < until) {
				if (Record.now() >= dropAt) {
					harness.minions.subList(0, 3).forEach(Minion::drop);
					dropAt = Long.MAX_VALUE;
				}
				Harness.Node next = harness.leader();
				if (next != null && next != leader && harness.minions.get(3).reachedOnlyBy == -1) {
					long other = harness.leaderToken();
					Record.line(next.name + " leads in the other zone; its token is " + other);
					harness.minions.subList(3, 6).forEach((minion) -> minion.reachedOnlyBy = other);
				}
				Thread.sleep(5);
			}
			Record.line("the cut is healed");
			leader.door.cut(false);
			harness.minions.forEach((minion) -> minion.reachedOnlyBy = Long.MAX_VALUE);
			harness.minions.subList(0, 3).forEach(Minion::register);
		}
		int open = 0;
		for (Jobs.Job job : jobs) {
			open += harness.awaitEnd(job, Record.now() + 40_000).equals("completed") ? 0 : 1;
		}
		Thread.sleep(2000);
		Record.line(Minion.runsSoFar().size() + " runs of " + JOBS * REPEATS * TASKS + " tasks");
		List<String> broken = Harness.twice();
		broken.stream().limit(40).forEach((line) -> Record.line("TWICE: " + line));
		if (!broken.isEmpty()) {
			harness.finish(Harness.BROKEN, "TWICE: " + broken.size() + " pairs of runs of the same task");
		}
		harness.finish((open == 0) ? Harness.HELD : Harness.NOT_RUN, "no task ran twice; " + open + " jobs are not done");
	}

}
