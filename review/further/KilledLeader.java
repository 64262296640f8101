import java.util.List;
import java.util.Map;

/**
 * One wide job of small tasks runs on two large minions, some 650 at a time on each. The
 * leader is killed, and no ends are taken note of until another one leads. Checks the
 * rule TWICE. Without the trouble the leader isn't killed. The cause is that of case 2.
 */
final class KilledLeader {

	private static final int TASKS = 4000;

	private KilledLeader() {
	}

	public static void main(String[] arguments) {
		Harness.play(arguments, KilledLeader::play);
	}

	private static void play(Harness harness) throws Exception {
		harness.configure("svc", Map.of("wide", 3));
		for (int i = 1; i <= 2; i++) {
			harness.minions.add(new Minion(harness.store, "svc", i, "r1-1", 64_000, 250_000));
		}
		harness.startNodes(3);
		Harness.Node leader = harness.awaitLeader();
		Thread.sleep(2000);
		Jobs.Job job = Jobs.create("wide", new Jobs.Step().size(TASKS, 70, 64).work(1500));
		if (!harness.submit(job)) {
			harness.finish(Harness.NOT_RUN, "the job was not accepted");
		}
		Thread.sleep(2500);
		if (Harness.TROUBLE) {
			leader.kill();
		}
		String state = harness.awaitEnd(job, Record.now() + 60_000);
		Thread.sleep(2000);
		List<String> broken = Harness.twice();
		broken.stream().limit(20).forEach((line) -> Record.line("TWICE: " + line));
		if (!broken.isEmpty()) {
			long tasks = broken.stream().map((line) -> line.substring(0, line.indexOf(':'))).distinct().count();
			harness.finish(Harness.BROKEN, "TWICE: " + tasks + " of " + TASKS + " tasks");
		}
		harness.finish(state.equals("completed") ? Harness.HELD : Harness.NOT_RUN, "the job is shown as " + state);
	}

}
