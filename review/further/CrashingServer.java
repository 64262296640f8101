import java.util.List;
import java.util.Map;

/**
 * Ten minions, nine of which are full of tasks that last. A job of a task of 4 s comes,
 * and the tenth minion crashes three times, each time 1 s after it has come back; it is
 * down for 4.5 s each time. Checks that the job isn't shown as failed, as none of its
 * runs has failed: the rule LOST. Without the trouble the minion stays up.
 */
final class CrashingServer {

	private static final int SERVERS = 10;

	private static final int CRASHES = 3;

	private static final long UP_MILLIS = 1000;

	private static final long DOWN_MILLIS = 4500;

	/** The platform drops the entry after three heartbeat intervals of silence. */
	private static final long DROP_MILLIS = 3300;

	private CrashingServer() {
	}

	public static void main(String[] arguments) {
		Harness.play(arguments, CrashingServer::play);
	}

	private static void play(Harness harness) throws Exception {
		harness.configure("svc", Map.of("lasting", 3, "pay", 3));
		for (int i = 1; i <= SERVERS; i++) {
			harness.minions.add(new Minion(harness.store, "svc", i, "r1-1", 32_000, 128_000));
		}
		harness.startNodes(3);
		harness.awaitLeader();
		Thread.sleep(2000);
		Jobs.Job filling = Jobs.create("lasting", new Jobs.Step().size(9, 30_000, 13_000).lasts());
		harness.submit(filling);
		Thread.sleep(3000);
		Minion free = harness.minions.stream().filter((minion) -> minion.runs() == 0).findFirst().orElseThrow();
		Record.line("free is " + free.id);
		Jobs.Job job = Jobs.create("pay", new Jobs.Step().size(1, 10_000, 6400).work(4000));
		harness.submit(job);
		Thread.sleep(600);
		if (Harness.TROUBLE) {
			for (int i = 0; i < CRASHES; i++) {
				free.crash();
				Thread.sleep(DROP_MILLIS);
				free.drop();
				Thread.sleep(DOWN_MILLIS - DROP_MILLIS);
				free.restart();
				Thread.sleep(UP_MILLIS);
			}
		}
		String state = harness.awaitEnd(job, Record.now() + 40_000);
		List<Minion.Run> runs = Minion.runsSoFar().stream().filter((run) -> run.task.startsWith(job.id)).toList();
		long failed = runs.stream().filter((run) -> run.how.equals("failed")).count();
		Record.line(runs.size() + " runs of the job, " + failed + " of them ended failed");
		if (state.equals("failed") && failed == 0) {
			harness.finish(Harness.BROKEN, "LOST: the job is shown as failed, and none of its runs has failed");
		}
		harness.finish(state.equals("completed") ? Harness.HELD : Harness.NOT_RUN, "the job is shown as " + state);
	}

}
