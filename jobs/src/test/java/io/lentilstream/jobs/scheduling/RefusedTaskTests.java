package io.lentilstream.jobs.scheduling;

import java.util.List;

import org.junit.jupiter.api.Test;

import io.lentilstream.jobs.JobState;
import io.lentilstream.jobs.JobSubmission;
import io.lentilstream.jobs.StepSpec;
import io.lentilstream.model.Resources;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the refusal of one task keeps only those tasks waiting to which its reason
 * applies.
 */
class RefusedTaskTests {

	private static final StepSpec.Traits GANG = new StepSpec.Traits(false, true, false, false, false);

	private static final StepSpec.Traits LONG_RUNNING = new StepSpec.Traits(false, false, false, true, false);

	private final VirtualWorld world = new VirtualWorld(7);

	// Guards against a gang that never fits and stops all jobs behind it.
	@Test
	void aGangWiderThanItsServiceDoesNotStopLessUrgentJobs() {
		for (int i = 0; i < 4; i++) {
			this.world.addWorker("w" + i);
		}
		this.world.takeOver();
		this.world.submit("gang", 0, VirtualWorld.withTraits(VirtualWorld.step(36, 1000, 300), GANG));
		this.world.clock.runFor(500);
		JobSubmission behind = this.world.submit("behind", 2, VirtualWorld.step(6, 1000, 300));
		this.world.clock.runFor(2000);
		assertThat(this.world.state(behind)).isEqualTo(JobState.COMPLETED);
	}

	// Guards against a gang whose members wait for a silent VM and that stops all jobs
	// behind it meanwhile.
	@Test
	void aGangThatWaitsForAMemberDoesNotStopLessUrgentJobs() {
		for (int i = 0; i < 4; i++) {
			this.world.addWorker("w" + i);
		}
		this.world.takeOver();
		this.world.submit("gang", 0, VirtualWorld.withTraits(VirtualWorld.step(4, 5000, 20_000), GANG));
		this.world.clock.runFor(1000);
		this.world.workers.get("w3").togglePartition();
		JobSubmission behind = this.world.submit("behind", 2, VirtualWorld.step(3, 5000, 300));
		this.world.workers.get("w0").crash();
		this.world.workers.get("w0").restart();
		this.world.scheduler.workerListed(this.world.workers.get("w0").listing());
		this.world.clock.runFor(3500);
		assertThat(this.world.state(behind)).isEqualTo(JobState.COMPLETED);
	}

	// Guards against a narrow gang that is skipped because a wider one does not fit.
	@Test
	void aGangWiderThanItsServiceDoesNotStopANarrowGang() {
		for (int i = 0; i < 4; i++) {
			this.world.addWorker("w" + i);
		}
		this.world.takeOver();
		this.world.submit("wide", 0, VirtualWorld.withTraits(VirtualWorld.step(36, 1000, 300), GANG));
		JobSubmission narrow = this.world.submit("narrow", 2,
				VirtualWorld.withTraits(VirtualWorld.step(4, 2000, 300), GANG));
		this.world.clock.runFor(2000);
		assertThat(this.world.state(narrow)).isEqualTo(JobState.COMPLETED);
	}

	// Guards against a lost long-running task that stays away from an empty VM, since a
	// first start was refused there to keep headroom.
	@Test
	void aLongRunningTaskRestartsWhereAFirstStartIsRefused() {
		this.world.addWorker("w0");
		this.world.addWorker("w1");
		this.world.takeOver();
		JobSubmission lost = this.world.submit("lost", 2,
				VirtualWorld.withTraits(VirtualWorld.step(1, 8000, 1000), LONG_RUNNING));
		this.world.clock.runFor(1000);
		VirtualWorker first = this.world.workers.get("w0").running.isEmpty() ? this.world.workers.get("w1")
				: this.world.workers.get("w0");
		// Urgent tasks that need all of the headroom.
		this.world.submit("urgent", 0, VirtualWorld.step(16, 1000, 300));
		this.world.clock.runFor(1000);
		JobSubmission refused = this.world.submit("refused", 0,
				VirtualWorld.withTraits(VirtualWorld.step(1, 6100, 1000), LONG_RUNNING));
		this.world.clock.runFor(1000);
		first.crash();
		this.world.clock.runFor(9000);
		assertThat(this.world.workers.values()
			.stream()
			.flatMap((worker) -> worker.running.keySet().stream())
			.filter((task) -> task.job().equals(lost.id()))).hasSize(1);
		assertThat(this.world.state(refused)).isEqualTo(JobState.QUEUED);
	}

	// Guards against a job with nothing running that is passed over because tasks of a
	// running job with the same image are refused, which may not start beside high tails.
	@Test
	void aJobWithNothingRunningStartsBehindALargeJobOfTheSameImage() {
		for (int i = 0; i < 4; i++) {
			this.world.addWorker("w" + i).tail = 45;
		}
		this.world.takeOver();
		StepSpec serving = new StepSpec(3, new Resources(2000, 100, 0), 0, List.of(), LONG_RUNNING,
				new StepSpec.Placement("", "", false, 1), "serving", 50, -1);
		this.world.submit("serving", 2, serving);
		this.world.clock.runFor(3000);
		StepSpec.Traits fills = new StepSpec.Traits(false, false, false, false, true);
		this.world.submit("large", 2,
				VirtualWorld.withImage(VirtualWorld.withTraits(VirtualWorld.step(32, 2000, 15_000), fills), "f", 0));
		JobSubmission small = this.world.submit("small", 2,
				VirtualWorld.withImage(VirtualWorld.withTraits(VirtualWorld.step(1, 2000, 15_000), fills), "f", 0));
		this.world.clock.runFor(3000);
		assertThat(this.world.state(small)).isEqualTo(JobState.RUNNING);
	}

}
