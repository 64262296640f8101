import java.util.List;
import java.util.Map;

/**
 * One wide job of short tasks runs on two minions while the platform's store is down for
 * 4.2 s. Checks the rule TWICE. Without the trouble the store stays up.
 */
final class ManyEnds {

	private static final int TASKS = 6000;

	private static final long OUTAGE_MILLIS = 4200;

	private ManyEnds() {
	}

	public static void main(String[] arguments) {
		Harness.play(arguments, ManyEnds::play);
	}

	private static void play(Harness harness) throws Exception {
		harness.configure("svc", Map.of("wide", 3));
		for (int i = 1; i <= 2; i++) {
			harness.minions.add(new Minion(harness.store, "svc", i, "r1-1", 32_000, 128_000));
		}
		harness.startNodes(3);
		harness.awaitLeader();
		Thread.sleep(2000);
		Jobs.Job job = Jobs.create("wide", new Jobs.Step().size(TASKS, 500, 64).work(150));
		if (!harness.submit(job)) {
			harness.finish(Harness.NOT_RUN, "the job was not accepted");
		}
		Thread.sleep(2000);
		int most = 0;
		if (Harness.TROUBLE) {
			harness.store.mode(Store.Mode.SILENT);
			long until = Record.now() + OUTAGE_MILLIS;
			while (Record.now() < until) {
				for (Minion minion : harness.minions) {
					most = Math.max(most, minion.openEnds());
				}
				Thread.sleep(20);
			}
			harness.store.mode(Store.Mode.UP);
			Record.line("most ends of a minion that were not taken note of: " + most);
		}
		String state = harness.awaitEnd(job, Record.now() + 60_000);
		Thread.sleep(2000);
		List<Minion.Run> runs = Minion.runsSoFar();
		Record.line(runs.size() + " runs of " + TASKS + " tasks: " + count(runs, "done") + " done, "
				+ count(runs, "stopped") + " stopped, " + count(runs, "lapsed") + " lapsed");
		if (!state.equals("completed")) {
			harness.finish(Harness.NOT_RUN, "the job is shown as " + state);
		}
		List<String> broken = Harness.twice();
		broken.stream().limit(20).forEach((line) -> Record.line("TWICE: " + line));
		if (!broken.isEmpty()) {
			long tasks = broken.stream().map((line) -> line.substring(0, line.indexOf(':'))).distinct().count();
			harness.finish(Harness.BROKEN, "TWICE: " + tasks + " of " + TASKS + " tasks were started again after they"
					+ " had ended done, or ran twice at the same time");
		}
		harness.finish(Harness.HELD, "no task was started after it was done");
	}

	private static long count(List<Minion.Run> runs, String how) {
		return runs.stream().filter((run) -> run.how.equals(how)).count();
	}

}
