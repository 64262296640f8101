import java.util.List;

/**
 * Checks what the rule LOST says of tasks that last: one has nothing running for 3 s,
 * from 6 s after its last run, though there is capacity for it twice over. Time counts
 * only from 4 s after the last disruption. Beyond the rule, the watch also asks that
 * under half of the service's capacity is in use.
 */
final class TaskWatch {

	private static final long SINCE_RUN_MILLIS = 6000;

	private static final long WINDOW_MILLIS = 3000;

	private static final long CALM_MILLIS = 4000;

	private final Harness harness;

	private final Jobs.Job job;

	private final Jobs.Step step;

	private final long judgedFrom;

	private final long[] lastRunAt;

	private final long[] idleSince;

	private final long[] longest;

	private final boolean[] broken;

	TaskWatch(Harness harness, Jobs.Job job, long calmFrom) {
		this.harness = harness;
		this.job = job;
		this.step = job.steps.get(0);
		this.judgedFrom = calmFrom + CALM_MILLIS;
		this.lastRunAt = new long[this.step.count];
		this.idleSince = new long[this.step.count];
		this.longest = new long[this.step.count];
		this.broken = new boolean[this.step.count];
		java.util.Arrays.fill(this.lastRunAt, job.acceptedAt);
	}

	void look() throws InterruptedException {
		long now = Record.now();
		List<Minion.Run> runs = Minion.runsSoFar();
		int places = 0;
		long used = 0;
		long capacity = 0;
		for (Minion minion : this.harness.minions) {
			if (minion.up()) {
				int room = (int) Math.min((minion.cpu - minion.usedCpu()) / this.step.cpu,
						(minion.memory - minion.usedMemory()) / this.step.memory);
				int allowed = (this.step.maxPerServer > 0) ? this.step.maxPerServer - minion.runs() : room;
				places += Math.max(0, Math.min(room, allowed));
				used += minion.usedCpu();
				capacity += minion.cpu;
			}
		}
		for (int index = 0; index < this.step.count; index++) {
			String task = this.job.id + ".0.0." + index;
			boolean running = runs.stream().anyMatch((run) -> run.task.equals(task) && run.endedAt < 0);
			if (running) {
				this.lastRunAt[index] = now;
			}
			boolean counts = !running && now >= this.lastRunAt[index] + SINCE_RUN_MILLIS && now >= this.judgedFrom
					&& places >= 2 && 2 * used < capacity;
			if (!counts) {
				this.idleSince[index] = now;
			}
			this.longest[index] = Math.max(this.longest[index], now - this.idleSince[index]);
			if (this.longest[index] >= WINDOW_MILLIS && !this.broken[index]) {
				this.broken[index] = true;
				Record.line("LOST: " + task + " has had nothing running for " + (now - this.lastRunAt[index])
						+ " ms, with room for " + places + " such tasks and " + used + " of " + capacity
						+ " thousandths of a core in use; the job is shown as " + this.harness.state(this.job));
			}
		}
	}

	/** Records what was seen, and ends the case. */
	static void finish(Harness harness, List<TaskWatch> watches) {
		int count = 0;
		int tasks = 0;
		for (TaskWatch watch : watches) {
			for (int index = 0; index < watch.step.count; index++) {
				if (watch.longest[index] > 0) {
					Record.line(watch.job.id + ".0.0." + index + ": nothing running for " + watch.longest[index]
							+ " ms at the most, as the rule counts it");
				}
				count += watch.broken[index] ? 1 : 0;
				tasks++;
			}
		}
		if (count > 0) {
			harness.finish(Harness.BROKEN, "LOST: " + count + " of " + tasks + " tasks that last did not run again");
		}
		harness.finish(Harness.HELD, "all " + tasks + " tasks that last run");
	}

}
