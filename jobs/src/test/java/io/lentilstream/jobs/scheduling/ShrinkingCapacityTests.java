package io.lentilstream.jobs.scheduling;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import io.lentilstream.jobs.JobState;
import io.lentilstream.jobs.JobSubmission;
import io.lentilstream.model.Resources;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for VMs whose capacity changes while they run tasks, and that accept whatever
 * they are told to start.
 */
class ShrinkingCapacityTests {

	private final VirtualWorld world = new VirtualWorld(1);

	private final VirtualWorker worker = this.world.addWorker("w1");

	@Test
	void aVmWhoseCapacityHasShrunkIsNotStartedOverIt() {
		this.world.takeOver();
		this.world.submit("job-1", 0, VirtualWorld.step(4, 1000, 4000));
		this.world.clock.runFor(500);
		setCapacity(5000);
		JobSubmission second = this.world.submit("job-2", 0, VirtualWorld.step(6, 1000, 1000));
		this.world.clock.runFor(2000);
		assertThat(this.worker.running).hasSizeLessThanOrEqualTo(5);
		setCapacity(3000);
		this.world.clock.runFor(8000);
		setCapacity(8000);
		this.world.clock.runFor(8000);
		assertThat(this.world.state(second)).isEqualTo(JobState.COMPLETED);
		assertThat(this.world.violations).isEmpty();
	}

	@Test
	void runsThatAreBeingStoppedCountAgainstAShrunkCapacity() {
		this.worker.stopMillis = 200;
		this.world.takeOver();
		JobSubmission first = this.world.submit("job-1", 0, VirtualWorld.step(6, 1000, 60_000));
		this.world.clock.runFor(500);
		setCapacity(6000);
		this.world.clock.runFor(4600);
		this.world.cancel(first.id());
		this.world.submit("job-2", 0, VirtualWorld.step(6, 1000, 1000));
		this.world.clock.runFor(10_000);
		assertThat(this.world.violations).isEmpty();
	}

	@Test
	void aVmThatRestartedSmallerGetsNoTasksBeforeItsNewCapacityIsListed() {
		this.world.addWorker("w2").changeCapacity(new Resources(1000, 1000, 0));
		this.world.clock.runFor(5000);
		this.world.takeOver();
		this.world.scheduler.workerListed(this.world.workers.get("w2").listing());
		this.world.clock.runFor(500);
		this.worker.crash();
		this.worker.changeCapacity(new Resources(2000, 16_000, 0));
		this.worker.restart();
		this.world.clock.runFor(1000);
		this.world.submit("job-1", 0, VirtualWorld.step(6, 1000, 1000));
		this.world.clock.runFor(500);
		assertThat(this.worker.running).isEmpty();
		this.world.scheduler.workerListed(this.worker.listing());
		this.world.clock.runFor(500);
		assertThat(this.worker.running).hasSize(2);
		assertThat(this.world.violations).isEmpty();
	}

	@Test
	void runsOfUnreadableJobsCountUntilTheyAreStopped() {
		this.worker.stopMillis = 1500;
		this.world.takeOver();
		this.world.unreadable.add(this.world.submit("job-1", 0, VirtualWorld.step(6, 1000, 60_000)).id());
		this.world.clock.runFor(500);
		this.world.takeOver();
		JobSubmission second = this.world.submit("job-2", 0, VirtualWorld.step(6, 1000, 1000));
		this.world.clock.runFor(10_000);
		assertThat(this.world.state(second)).isEqualTo(JobState.COMPLETED);
		assertThat(this.world.violations).isEmpty();
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void capacityHoldsBesideTakeoversCancellationsAndLostAnswers(long seed) {
		this.world.random.setSeed(seed);
		for (int i = 2; i < 6; i++) {
			this.world.addWorker("w" + i);
		}
		this.world.takeOver();
		this.world.unanswered = 0.05;
		this.world.delayed = 0.5;
		for (int round = 0; round < 100; round++) {
			JobSubmission job = this.world.submit("job-" + round, round % 3,
					VirtualWorld.step(4, 500 + this.world.random.nextInt(1500), 1500));
			this.world.clock.runFor(300);
			VirtualWorker changed = this.world.workers.get("w" + (1 + this.world.random.nextInt(5)));
			switch (this.world.random.nextInt(8)) {
				case 0 -> this.world.takeOver();
				case 1 -> this.world.cancel(job.id());
				case 2, 3 -> {
					changed.changeCapacity(new Resources(2000 + this.world.random.nextInt(6001), 16_000, 0));
					this.world.scheduler.workerListed(changed.listing());
				}
				default -> {
					// No change in this round.
				}
			}
		}
		this.world.clock.runFor(20_000);
		assertThat(this.world.violations).isEmpty();
	}

	private void setCapacity(long milliCores) {
		this.worker.changeCapacity(new Resources(milliCores, 16_000, 0));
		this.world.scheduler.workerListed(this.worker.listing());
	}

}
