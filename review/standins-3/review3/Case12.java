package review3;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A job of six tasks that last, at most one on a minion, after one of seven minions was
 * lost for good. Rule LOST: a task that lasts doesn't run for 3 s while there is capacity
 * for it twice over and under half of the service's capacity is in use.
 */
final class Case12 {

	private static final int MINIONS = 7;

	private static final int TASKS = 6;

	private static final long CPU = 2000;

	/** The platform removes the entry of a lost minion after three heartbeat intervals. */
	private static final long UNLISTED_MS = 3 * Minion.HEARTBEAT_MS + 2000;

	/** `contact-ms`, 4 s of calm and 3 s that are judged. */
	private static final long JUDGED_MS = 3000 + 4000 + 3000;

	private static final long WATCHED_MS = 40_000;

	private Case12() {
	}

	public static void main(String[] arguments) {
		System.exit(World.run(Path.of(arguments[0]), Case12::run));
	}

	private static int run(World world) throws Exception {
		if (!world.begin(MINIONS)) {
			return 2;
		}
		if (World.trouble()) {
			world.note("minion m7 is lost for good");
			world.minions.get(6).crash();
		}
		Thread.sleep(UNLISTED_MS);
		World.JobSpec job = world.job(new World.Step(TASKS, CPU, 4000, 0,
				Map.of("long-running", true, "image", "i1", "target-ms", 100L, "max-per-server", 1L)));
		if (world.submit(job) != 200) {
			return 2;
		}
		List<String> tasks = new ArrayList<>();
		for (int i = 0; i < TASKS; i++) {
			tasks.add(job.id() + ".0.0." + i);
		}
		long acceptedAt = world.millis();
		Thread.sleep(JUDGED_MS);
		List<String> missing = missing(world, tasks);
		long until = acceptedAt + WATCHED_MS;
		while (!missing.isEmpty() && !missing(world, tasks).isEmpty() && world.millis() < until) {
			Thread.sleep(500);
		}
		String state = world.state(job);
		world.note("the job is " + state + "; " + JUDGED_MS + " ms after it was accepted " + missing
				+ " did not run, " + (world.millis() - acceptedAt) + " ms after it " + missing(world, tasks));
		for (Minion minion : world.minions) {
			world.note("minion " + minion.name() + (minion.up() ? " is up and runs " : " is lost and runs ")
					+ minion.runningTasks() + " tasks");
		}
		return missing.isEmpty() ? 0 : 1;
	}

	private static List<String> missing(World world, List<String> tasks) {
		return tasks.stream().filter((task) -> world.minionOf(task) == null).toList();
	}

}
