package review3;

import java.nio.file.Path;
import java.util.Map;

/**
 * A job whose minion crashes four times, a single one of seven each time. Rule LOST: a job
 * is shown as `failed` without cause, as only ends `failed` count as attempts.
 */
final class Case11 {

	private static final int CRASHES = 4;

	/** How long a crashed minion is down. */
	private static final long DOWN_MS = 2000;

	/** The age of the run at which its minion crashes. */
	private static final long AGE_MS = 5000;

	private static final long WORK_MS = 15_000;

	private Case11() {
	}

	public static void main(String[] arguments) {
		System.exit(World.run(Path.of(arguments[0]), Case11::run));
	}

	private static int run(World world) throws Exception {
		if (!world.begin(7)) {
			return 2;
		}
		World.JobSpec job = world.job(new World.Step(1, 4000, 4000, WORK_MS, Map.of()));
		if (world.submit(job) != 200) {
			return 2;
		}
		String task = job.id() + ".0.0.0";
		int crashes = 0;
		String state = "";
		long until = world.millis() + 85_000;
		while (world.millis() < until) {
			Minion minion = world.minionOf(task);
			long started = (minion != null) ? world.starts.get(task).get(world.starts.get(task).size() - 1) : 0;
			if (World.trouble() && crashes < CRASHES && minion != null && world.millis() - started >= AGE_MS) {
				crashes++;
				world.note("crash " + crashes + " of " + CRASHES + ": minion " + minion.name());
				minion.crashFor(DOWN_MS);
			}
			state = (world.millis() % 1000 < 100) ? world.state(job) : state;
			if (state.equals("completed") || state.equals("failed") || state.equals("cancelled")) {
				break;
			}
			Thread.sleep(100);
		}
		int failedEnds = world.failedRuns.getOrDefault(job.id(), 0);
		world.note("state " + state + ", ends 'failed' " + failedEnds + ", runs lost with a minion "
				+ world.crashedRuns.getOrDefault(task, 0));
		if (state.equals("completed")) {
			return 0;
		}
		return (state.equals("failed") && failedEnds == 0) ? 1 : 2;
	}

}
