import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Six minions. A burst of short jobs comes and is done; 8 s later a job with five tasks
 * that last is handed in, each of which takes most of a minion. Checks what the rule LOST
 * says of tasks that last. Without the trouble the burst does not come.
 */
final class FreeServers {

	private FreeServers() {
	}

	public static void main(String[] arguments) {
		Harness.play(arguments, FreeServers::play);
	}

	private static void play(Harness harness) throws Exception {
		harness.configure("svc", Map.of("short", 3, "lasting", 3));
		for (int i = 1; i <= 6; i++) {
			harness.minions.add(new Minion(harness.store, "svc", i, "r1-1", 32_000, 128_000));
		}
		harness.startNodes(3);
		harness.awaitLeader();
		Thread.sleep(2000);
		if (Harness.TROUBLE) {
			burst(harness);
		}
		Thread.sleep(8000);
		Jobs.Job job = Jobs.create("lasting", new Jobs.Step().size(5, 20_000, 13_000).lasts());
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

	// Forty jobs of eight tasks in 4 s.
	private static void burst(Harness harness) throws InterruptedException {
		List<Jobs.Job> jobs = new ArrayList<>();
		for (int i = 0; i < 40; i++) {
			Jobs.Job job = Jobs.create("short", new Jobs.Step().size(8, 3500, 6400).work(1400));
			if (!harness.submit(job)) {
				harness.finish(Harness.NOT_RUN, "a job was not accepted");
			}
			jobs.add(job);
			Thread.sleep(100);
		}
		for (Jobs.Job job : jobs) {
			if (!harness.awaitEnd(job, Record.now() + 30_000).equals("completed")) {
				harness.finish(Harness.NOT_RUN, "a short job did not end");
			}
		}
	}

}
