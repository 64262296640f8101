import java.util.List;
import java.util.Map;

/**
 * Four minions and a job with twelve tasks that last, each of which fails twice: the first
 * one 4 s after its starts, each further one 0.5 s later. Checks that all run again: what
 * the rule LOST says of tasks that last. Without the trouble no task fails.
 */
final class FailedTwice {

	private static final int TASKS = 12;

	private FailedTwice() {
	}

	public static void main(String[] arguments) {
		Harness.play(arguments, FailedTwice::play);
	}

	private static void play(Harness harness) throws Exception {
		harness.configure("svc", Map.of("lasting", 3));
		for (int i = 1; i <= 4; i++) {
			harness.minions.add(new Minion(harness.store, "svc", i, "r1-1", 32_000, 128_000));
		}
		harness.startNodes(3);
		harness.awaitLeader();
		Thread.sleep(2000);
		Jobs.Step step = new Jobs.Step().size(TASKS, 3000, 6000).lasts();
		step.maxPerServer = 4;
		step.failAfterMillis = 4000;
		step.failEachMillis = 500;
		for (int index = 0; index < TASKS; index++) {
			step.failures.put(index, Harness.TROUBLE ? 2 : 0);
		}
		Jobs.Job job = Jobs.create("lasting", step);
		if (!harness.submit(job)) {
			harness.finish(Harness.NOT_RUN, "the job was not accepted");
		}
		// No disruption: the time is judged from the start.
		TaskWatch watch = new TaskWatch(harness, job, Record.now());
		long end = Record.now() + 45_000;
		while (Record.now() < end) {
			watch.look();
			Thread.sleep(20);
		}
		TaskWatch.finish(harness, List.of(watch));
	}

}
