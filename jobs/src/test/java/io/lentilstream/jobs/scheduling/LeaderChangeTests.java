package io.lentilstream.jobs.scheduling;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;

import org.junit.jupiter.api.Test;

import io.lentilstream.jobs.StepSpec;
import io.lentilstream.jobs.TaskName;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Replays of a peak with and without a change of leader in it.
 */
class LeaderChangeTests {

	private static final int SEEDS = 20;

	private static final double TARGET = 50;

	private static final int IMAGES = 4;

	private static final long PEAK_START_MILLIS = 14_000;

	private static final long PEAK_END_MILLIS = 20_000;

	private static final long LOST_MILLIS = 17_000;

	private static final long TAKEOVER_MILLIS = 19_300;

	private static final long END_MILLIS = TAKEOVER_MILLIS + 15_000;

	private static final long SAMPLE_MILLIS = 50;

	/** The additional time over target that is allowed per replay, in milliseconds. */
	private static final long ALLOWED_OVER_TARGET_MILLIS = 50;

	/** The additional paused time that is allowed per replay, in milliseconds. */
	private static final long ALLOWED_PAUSED_MILLIS = 300;

	@Test
	void aChangeOfLeaderInAPeakCostsLittle() {
		Figures with = new Figures();
		Figures without = new Figures();
		for (int seed = 1; seed <= SEEDS; seed++) {
			new Replay(seed, true).run(with);
			new Replay(seed, false).run(without);
		}
		assertThat(with.overTargetMillis).as("%s with a change, %s without", with, without)
			.isLessThan(without.overTargetMillis + SEEDS * ALLOWED_OVER_TARGET_MILLIS);
		assertThat(with.pausedMillis).as("%s with a change, %s without", with, without)
			.isLessThan(without.pausedMillis + SEEDS * ALLOWED_PAUSED_MILLIS);
		assertThat(with.done).isGreaterThanOrEqualTo(without.done * 98 / 100);
	}

	/**
	 * Totals of the 15 s after the takeover.
	 */
	private static final class Figures {

		private long overTargetMillis;

		private long pausedMillis;

		private int done;

		@Override
		public String toString() {
			return this.overTargetMillis + " ms over target, " + this.pausedMillis + " ms paused, " + this.done
					+ " tasks done";
		}

	}

	/**
	 * A replay in which each best-effort image disturbs one serving image.
	 */
	private static final class Replay {

		private final VirtualWorld world;

		private final Random random;

		private final boolean leaderChanges;

		private final Map<String, Double> phases = new LinkedHashMap<>();

		private long start;

		private int jobs;

		Replay(long seed, boolean leaderChanges) {
			this.world = new VirtualWorld(seed);
			this.random = new Random(seed);
			this.leaderChanges = leaderChanges;
			this.world.tailModel = (worker, task) -> tailOf(worker, task) * Math.exp(0.05 * this.random.nextGaussian());
		}

		void run(Figures figures) {
			for (int i = 0; i < 16; i++) {
				this.world.addWorker("w" + i);
				this.phases.put("w" + i, 6 * this.random.nextDouble());
			}
			this.world.takeOver();
			this.world.clock.runFor(300);
			for (int image = 0; image < IMAGES; image++) {
				StepSpec.Traits serves = new StepSpec.Traits(false, false, false, true, false);
				this.world.submit("serving-" + image, 0, VirtualWorld.withImage(
						VirtualWorld.withTraits(VirtualWorld.step(3, 3000, 60_000), serves), "s" + image, TARGET));
			}
			this.start = this.world.clock.now();
			submitPeriodically();
			if (this.leaderChanges) {
				this.world.clock.schedule(LOST_MILLIS, this.world::loseLeader);
				this.world.clock.schedule(TAKEOVER_MILLIS, this.world::takeOver);
			}
			this.world.clock.runFor(TAKEOVER_MILLIS);
			while (time() < END_MILLIS) {
				this.world.clock.runFor(SAMPLE_MILLIS);
				this.world.workers.values().forEach((worker) -> sample(worker, figures));
			}
			figures.done += this.world.completedTasks();
			assertThat(this.world.violations).isEmpty();
		}

		private void sample(VirtualWorker worker, Figures figures) {
			for (TaskName task : worker.running.keySet()) {
				if (this.world.specOf(task).serves()) {
					figures.overTargetMillis += (tailOf(worker, task) > TARGET) ? SAMPLE_MILLIS : 0;
				}
				else {
					figures.pausedMillis += SAMPLE_MILLIS * (100 - worker.speeds.getOrDefault(task, 100)) / 100;
				}
			}
		}

		private void submitPeriodically() {
			boolean peak = time() >= PEAK_START_MILLIS && time() < PEAK_END_MILLIS;
			StepSpec.Traits bestEffort = new StepSpec.Traits(true, false, false, false, true);
			this.world.submit("filling-" + this.jobs++, 1,
					VirtualWorld.withImage(VirtualWorld.withTraits(VirtualWorld.step(5, 1500, 1200), bestEffort),
							"f" + this.random.nextInt(IMAGES), -1));
			this.world.clock.schedule(peak ? 110 : 150, this::submitPeriodically);
		}

		private double tailOf(VirtualWorker worker, TaskName serving) {
			boolean peak = time() >= PEAK_START_MILLIS && time() < PEAK_END_MILLIS;
			double log = Math.log(0.3) + 0.15 * Math.sin(time() / 900.0 + this.phases.get(worker.id))
					+ (peak ? 0.35 : 0);
			String servingImage = this.world.specOf(serving).image();
			for (TaskName other : worker.running.keySet()) {
				StepSpec spec = this.world.specOf(other);
				if (!spec.serves()) {
					boolean disturbs = spec.image().substring(1).equals(servingImage.substring(1));
					double share = spec.size().milliCores() / 8000.0 * worker.speeds.getOrDefault(other, 100) / 100;
					log += (disturbs ? 4 : 0.1) * share;
				}
			}
			return TARGET * Math.exp(log);
		}

		private long time() {
			return this.world.clock.now() - this.start;
		}

	}

}
