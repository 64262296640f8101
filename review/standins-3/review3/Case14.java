package review3;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A job of one task that fills, handed in right after a large one of the same image. Rule
 * LOST: from `finish_s` after the end of the traffic, for 3 s, a job has nothing running
 * while a task's turn has come, there is capacity for it twice over, and under half of the
 * service's capacity is in use.
 */
final class Case14 {

	private static final int MINIONS = 7;

	/** The widest step of the site's tasks that fill is 32 wide, their longest work 15 s. */
	private static final int LARGE_COUNT = 32;

	private static final long WORK_MS = 15_000;

	/** `finish_s`, and the 3 s that are judged. */
	private static final long JUDGED_MS = 14_000 + 3000;

	private static final long WATCHED_MS = 60_000;

	private Case14() {
	}

	public static void main(String[] arguments) {
		System.exit(World.run(Path.of(arguments[0]), Case14::run));
	}

	/** The sizes are the means of the site's tasks that fill. */
	private static World.Step fills(int count) {
		return new World.Step(count, 7000, 13_000, WORK_MS, Map.of("fills", true, "image", "f1"));
	}

	private static int run(World world) throws Exception {
		if (!world.begin(MINIONS)) {
			return 2;
		}
		// One task that serves on each minion but one, below its target at all times.
		world.tailShare = 0.9;
		World.JobSpec serving = world.job(new World.Step(MINIONS - 1, 16_000, 20_000, 0,
				Map.of("long-running", true, "image", "s1", "target-ms", 100L, "max-per-server", 1L)));
		if (world.submit(serving) != 200) {
			return 2;
		}
		Thread.sleep(6000);
		if (World.trouble() && world.submit(world.job(fills(LARGE_COUNT))) != 200) {
			return 2;
		}
		World.JobSpec small = world.job(fills(1));
		if (world.submit(small) != 200) {
			return 2;
		}
		long trafficEnded = world.millis();
		String task = small.id() + ".0.0.0";
		Thread.sleep(JUDGED_MS + 500);
		List<Long> starts = new ArrayList<>(world.starts.getOrDefault(task, List.of()));
		world.note("the small job: " + world.state(small) + ", starts " + starts + ", the traffic ended at "
				+ trafficEnded);
		for (Minion minion : world.minions) {
			world.note("minion " + minion.name() + " runs " + minion.runningTasks() + " tasks");
		}
		if (!starts.isEmpty()) {
			return 0;
		}
		long until = world.millis() + WATCHED_MS;
		while (world.starts.getOrDefault(task, List.of()).isEmpty() && world.millis() < until) {
			Thread.sleep(200);
		}
		world.note("the small job began at " + world.starts.getOrDefault(task, List.of()));
		return 1;
	}

}
