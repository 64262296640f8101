package io.lentilstream.jobs.scheduling;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import io.lentilstream.jobs.JobState;
import io.lentilstream.jobs.JobSubmission;
import io.lentilstream.jobs.StepSpec;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Replays the loads for which the rules of waiting, placing and avoiding were made.
 */
class LoadPatternTests {

	private static final StepSpec.Traits LONG_RUNNING = new StepSpec.Traits(false, false, false, true, false);

	private final VirtualWorld world = new VirtualWorld(3);

	@Test
	void aVmThatFailsAllItGetsDrawsOnlyProbes() {
		for (int i = 0; i < 6; i++) {
			this.world.addWorker("w" + i);
		}
		this.world.workers.get("w0").failing = true;
		this.world.takeOver();
		List<JobSubmission> jobs = new ArrayList<>();
		for (int i = 0; i < 60; i++) {
			jobs.add(this.world.submit("job-" + i, 0, VirtualWorld.step(8, 1000, 300)));
			this.world.clock.runFor(100);
		}
		this.world.clock.runFor(5000);
		assertThat(this.world.failures).isLessThanOrEqualTo(16);
		assertThat(jobs).allSatisfy((job) -> assertThat(this.world.state(job)).isEqualTo(JobState.COMPLETED));
	}

	@Test
	void aVmThatFailedIsProbedByOneRunAtATime() {
		this.world.addWorker("w0").failing = true;
		this.world.addWorker("w1");
		this.world.takeOver();
		for (int i = 0; i < 80; i++) {
			this.world.submit("job-" + i, 0, VirtualWorld.step(8, 1000, 300));
		}
		this.world.clock.runFor(1000);
		int most = 0;
		for (int i = 0; i < 240; i++) {
			this.world.clock.runFor(50);
			most = Math.max(most, this.world.workers.get("w0").running.size());
		}
		assertThat(most).isEqualTo(1);
	}

	@Test
	void anUrgentJobFindsRoomAlthoughLongRunningTasksWouldTakeAllOfIt() {
		for (int i = 0; i < 8; i++) {
			this.world.addWorker("w" + i);
		}
		this.world.takeOver();
		StepSpec lasting = VirtualWorld.withTraits(VirtualWorld.step(40, 2000, 1000), LONG_RUNNING);
		this.world.submit("lasting", 0, lasting);
		this.world.clock.runFor(1000);
		JobSubmission urgent = this.world.submit("urgent", 0, VirtualWorld.step(4, 2000, 300));
		this.world.clock.runFor(800);
		assertThat(this.world.state(urgent)).isEqualTo(JobState.COMPLETED);
	}

	@Test
	void aLongRunningTaskThatEndsIsBackBeforeOthersTakeItsPlace() {
		this.world.addWorker("w0");
		this.world.addWorker("w1");
		this.world.takeOver();
		StepSpec lasting = VirtualWorld.withTraits(VirtualWorld.step(8, 2000, 1000), LONG_RUNNING);
		JobSubmission first = this.world.submit("first", 0, lasting);
		this.world.clock.runFor(1000);
		this.world.submit("second", 0, lasting);
		int before = running(first);
		this.world.workers.get("w0").crash();
		this.world.workers.get("w0").restart();
		this.world.scheduler.list(this.world.workers.get("w0").listing());
		this.world.clock.runFor(1000);
		assertThat(running(first)).isEqualTo(before);
	}

	@Test
	void aLongRunningTaskOnAVmThatIsGoneIsBackSoonAfterTheEndOfItsLease() {
		VirtualWorker gone = this.world.addWorker("w0");
		this.world.takeOver();
		StepSpec lasting = VirtualWorld.withTraits(VirtualWorld.step(1, 2000, 1000), LONG_RUNNING);
		JobSubmission job = this.world.submit("lasting", 0, lasting);
		this.world.clock.runFor(1000);
		this.world.addWorker("w1");
		this.world.addWorker("w2");
		this.world.clock.runFor(1000);
		gone.crash();
		this.world.clock.runFor(8000);
		assertThat(running(job)).isEqualTo(1);
	}

	@Test
	void workThatCanStillBeOnTimeComesBeforeWorkThatIsLate() {
		this.world.addWorker("w0");
		this.world.takeOver();
		for (int i = 0; i < 10; i++) {
			this.world.submit("early-" + i, 2, VirtualWorld.step(8, 2000, 1000));
		}
		this.world.clock.runFor(4500);
		JobSubmission fresh = this.world.submit("fresh", 2, VirtualWorld.step(4, 2000, 1000));
		this.world.clock.runFor(2500);
		assertThat(this.world.state(fresh)).isEqualTo(JobState.COMPLETED);
	}

	@Test
	void aRunThatStandsStillStartsAgainElsewhere() {
		this.world.addWorker("w0");
		this.world.workers.get("w0").hanging = true;
		this.world.takeOver();
		JobSubmission job = this.world.submit("job", 0, VirtualWorld.step(1, 1000, 400));
		this.world.clock.runFor(300);
		this.world.addWorker("w1");
		this.world.clock.runFor(5000);
		assertThat(this.world.state(job)).isEqualTo(JobState.COMPLETED);
		assertThat(this.world.violations).isEmpty();
	}

	private int running(JobSubmission job) {
		return this.world.workers.values()
			.stream()
			.mapToInt((worker) -> (int) worker.running.keySet()
				.stream()
				.filter((task) -> task.job().equals(job.id()))
				.count())
			.sum();
	}

}
