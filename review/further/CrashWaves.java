import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Twenty-one minions and eight jobs with six tasks each that last. Six times, 3 s apart,
 * three minions crash, drawn at random, and are back after 4.5 s. Checks that all tasks
 * run again: what the rule LOST says of tasks that last. Without the trouble no minion
 * crashes.
 */
final class CrashWaves {

	private static final int SERVERS = 21;

	private static final int JOBS = 8;

	private static final int WAVES = Integer.getInteger("waves", 6);

	private static final int CRASHES = 3;

	private static final long GAP_MILLIS = 3000;

	private static final long DOWN_MILLIS = 4500;

	/** The platform drops the entry after three heartbeat intervals of silence. */
	private static final long DROP_MILLIS = 3300;

	private CrashWaves() {
	}

	public static void main(String[] arguments) {
		Harness.play(arguments, CrashWaves::play);
	}

	private static void play(Harness harness) throws Exception {
		harness.configure("svc", Map.of("lasting", 3));
		for (int i = 1; i <= SERVERS; i++) {
			harness.minions.add(new Minion(harness.store, "svc", i, "r1-" + (1 + i / 8), 32_000, 128_000));
		}
		harness.startNodes(3);
		harness.awaitLeader();
		Thread.sleep(2000);
		List<TaskWatch> watches = new ArrayList<>();
		List<Jobs.Job> jobs = new ArrayList<>();
		for (int i = 0; i < JOBS; i++) {
			Jobs.Step step = new Jobs.Step().size(6, 5000, 13_000).lasts();
			step.image = "ledger-" + i % 3;
			step.targetMillis = 50;
			Jobs.Job job = Jobs.create("lasting", step);
			if (!harness.submit(job)) {
				harness.finish(Harness.NOT_RUN, "a job was not accepted");
			}
			jobs.add(job);
			Thread.sleep(100);
		}
		Thread.sleep(3000);
		Random random = new Random(Long.getLong("seed", 1));
		for (int wave = 0; Harness.TROUBLE && wave < WAVES; wave++) {
			List<Minion> up = new ArrayList<>(harness.minions.stream().filter(Minion::up).toList());
			Collections.shuffle(up, random);
			for (Minion minion : up.subList(0, CRASHES)) {
				crash(minion);
			}
			Thread.sleep(GAP_MILLIS);
		}
		long calmFrom = Record.now() + (Harness.TROUBLE ? DOWN_MILLIS : 0);
		jobs.forEach((job) -> watches.add(new TaskWatch(harness, job, calmFrom)));
		while (Record.now() < calmFrom + 35_000) {
			for (TaskWatch watch : watches) {
				watch.look();
			}
			Thread.sleep(20);
		}
		TaskWatch.finish(harness, watches);
	}

	private static void crash(Minion minion) throws Exception {
		minion.crash();
		Thread back = new Thread(() -> {
			try {
				Thread.sleep(DROP_MILLIS);
				minion.drop();
				Thread.sleep(DOWN_MILLIS - DROP_MILLIS);
				minion.restart();
			}
			catch (Exception ex) {
				Record.line("no restart: " + ex);
			}
		});
		back.setDaemon(true);
		back.start();
	}

}
