import java.util.List;
import java.util.Map;

/**
 * A service with a single minion, which is empty, and a job with one task that lasts.
 * Checks what the rule LOST says of tasks that last. Without the trouble there are two
 * minions. The cause is that of FreeServers.
 */
final class OneServer {

	private OneServer() {
	}

	public static void main(String[] arguments) {
		Harness.play(arguments, OneServer::play);
	}

	private static void play(Harness harness) throws Exception {
		harness.configure("svc", Map.of("lasting", 3));
		for (int i = 1; i <= (Harness.TROUBLE ? 1 : 2); i++) {
			harness.minions.add(new Minion(harness.store, "svc", i, "r1-1", 32_000, 128_000));
		}
		harness.startNodes(3);
		harness.awaitLeader();
		Thread.sleep(2000);
		Jobs.Job job = Jobs.create("lasting", new Jobs.Step().size(1, 4000, 1000).lasts());
		if (!harness.submit(job)) {
			harness.finish(Harness.NOT_RUN, "the job was not accepted");
		}
		TaskWatch watch = new TaskWatch(harness, job, Record.now());
		long end = Record.now() + 30_000;
		while (Record.now() < end) {
			watch.look();
			Thread.sleep(20);
		}
		TaskWatch.finish(harness, List.of(watch));
	}

}
