import java.util.List;
import java.util.Map;

/**
 * A gang whose tasks save their progress runs on four minions, and one of these crashes
 * and starts again. Checks that the gang goes on: the rules GANG and LOST. Without the
 * trouble no minion crashes.
 */
final class GangCheckpoints {

	private static final int MEMBERS = 4;

	private static final long WORK_MILLIS = 8000;

	private static final long DOWN_MILLIS = 4000;

	private GangCheckpoints() {
	}

	public static void main(String[] arguments) {
		Harness.play(arguments, GangCheckpoints::play);
	}

	private static void play(Harness harness) throws Exception {
		harness.configure("svc", Map.of("gang", 3));
		for (int i = 1; i <= 6; i++) {
			Minion minion = new Minion(harness.store, "svc", i, "r1-1", 32_000, 128_000);
			minion.saveMillis = 500;
			harness.minions.add(minion);
		}
		harness.startNodes(3);
		harness.awaitLeader();
		Thread.sleep(2000);
		Jobs.Step step = new Jobs.Step().size(MEMBERS, 20_000, 13_000).work(WORK_MILLIS);
		step.gang = true;
		step.checkpointing = true;
		Jobs.Job job = Jobs.create("gang", step);
		if (!harness.submit(job)) {
			harness.finish(Harness.NOT_RUN, "the job was not accepted");
		}
		Thread.sleep(3150);
		long crashedAt = Record.now();
		if (Harness.TROUBLE) {
			Minion victim = harness.minions.stream().filter((minion) -> minion.runs() > 0).findFirst().orElseThrow();
			victim.crash();
			Thread.sleep(3300);
			victim.drop();
			Thread.sleep(DOWN_MILLIS - 3300);
			victim.restart();
		}
		String state = harness.awaitEnd(job, Record.now() + 60_000);
		List<Minion.Run> runs = Minion.runsSoFar();
		long alone = runs.stream().filter((run) -> run.how.equals("alone") && run.endedAt > crashedAt + 10_000).count();
		Record.line(runs.size() + " runs; " + alone + " ended alone later than 10 s after the crash; "
				+ Minion.mixedCheckpoints + " starts carried another checkpoint than their gang");
		if (alone > 0 || !state.equals("completed")) {
			harness.finish(Harness.BROKEN, "GANG: " + alone + " runs ended alone, and the job is shown as " + state);
		}
		harness.finish(Harness.HELD, "the gang is done");
	}

}
