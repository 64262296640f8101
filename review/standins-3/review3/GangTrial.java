package review3;

import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * A gang that checkpoints, under which one of seven minions crashes. Rule UNASKED: a
 * minion is told to start with a checkpoint that isn't the task's; the members of a gang
 * must all carry the same value.
 */
final class GangTrial {

	private static final int MEMBERS = 3;

	private static final long WORK_MS = 12_000;

	/** The age of the gang's run at which a minion crashes, beside multiples of `save-s`. */
	private static final long AGE_MS = 5200;

	/** How long the crashed minion is down. */
	private static final long DOWN_MS = 2000;

	private GangTrial() {
	}

	public static void main(String[] arguments) {
		System.exit(World.run(Path.of(arguments[0]), GangTrial::run));
	}

	private static int run(World world) throws Exception {
		if (!world.begin(7)) {
			return 2;
		}
		World.JobSpec job = world.job(new World.Step(MEMBERS, 40_000, 4000, WORK_MS,
				Map.of("gang", true, "checkpointing", true)));
		if (world.submit(job) != 200) {
			return 2;
		}
		String member = job.id() + ".0.0.0";
		boolean crashed = false;
		String state = "";
		long until = world.millis() + 60_000;
		while (world.millis() < until && !state.equals("completed") && !state.equals("failed")) {
			Minion minion = world.minionOf(member);
			if (World.trouble() && !crashed && minion != null
					&& world.millis() - world.starts.get(member).get(0) >= AGE_MS) {
				crashed = true;
				world.note("crash of minion " + minion.name());
				minion.crashFor(DOWN_MS);
			}
			Thread.sleep(100);
			state = (world.millis() % 1000 < 100) ? world.state(job) : state;
		}
		boolean broken = false;
		for (Map.Entry<String, Map<String, String>> run : world.carried.entrySet()) {
			Set<String> values = new TreeSet<>(run.getValue().values());
			world.note(run.getKey() + ": " + run.getValue().size() + " members, checkpoints " + values);
			broken |= run.getValue().size() == MEMBERS && values.size() > 1;
		}
		world.note("the job is " + state);
		return broken ? 1 : (state.equals("completed") ? 0 : 2);
	}

}
