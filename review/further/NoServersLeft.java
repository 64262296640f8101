import java.util.List;
import java.util.Map;

/**
 * All three minions of a service are lost for good while a job runs. Then the leader is
 * stopped by SIGTERM, and three new minions come. Checks that the job goes on: the rule
 * LOST. Without the trouble the leader isn't stopped.
 */
final class NoServersLeft {

	/** The platform drops the entry after three heartbeat intervals of silence. */
	private static final long DROP_MILLIS = 3300;

	private NoServersLeft() {
	}

	public static void main(String[] arguments) {
		Harness.play(arguments, NoServersLeft::play);
	}

	private static void play(Harness harness) throws Exception {
		harness.configure("svc", Map.of("payout", 3));
		for (int i = 1; i <= 3; i++) {
			harness.minions.add(new Minion(harness.store, "svc", i, "r1-1", 32_000, 128_000));
		}
		harness.startNodes(3);
		Harness.Node leader = harness.awaitLeader();
		Thread.sleep(2000);
		Jobs.Job job = Jobs.create("payout", new Jobs.Step().size(6, 3000, 1000).work(6000));
		if (!harness.submit(job)) {
			harness.finish(Harness.NOT_RUN, "the job was not accepted");
		}
		Thread.sleep(2000);
		for (Minion minion : harness.minions) {
			minion.crash();
		}
		Thread.sleep(DROP_MILLIS);
		harness.minions.forEach(Minion::drop);
		Thread.sleep(8000);
		if (Harness.TROUBLE) {
			leader.terminate();
			Thread.sleep(3000);
		}
		List<Minion> fresh = new java.util.ArrayList<>();
		for (int i = 11; i <= 13; i++) {
			fresh.add(new Minion(harness.store, "svc", i, "r1-1", 32_000, 128_000));
		}
		String state = harness.awaitEnd(job, Record.now() + 40_000);
		if (!state.equals("completed")) {
			harness.finish(Harness.BROKEN, "LOST: the job has had nothing running for 40 s, with " + fresh.size()
					+ " empty minions; it is shown as " + state);
		}
		harness.finish(Harness.HELD, "the job is shown as " + state);
	}

}
