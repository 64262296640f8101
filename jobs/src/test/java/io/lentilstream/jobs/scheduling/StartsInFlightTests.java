package io.lentilstream.jobs.scheduling;

import org.junit.jupiter.api.Test;

import io.lentilstream.jobs.JobState;
import io.lentilstream.jobs.JobSubmission;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that start commands are not sent faster than VMs answer them.
 */
class StartsInFlightTests {

	private static final int VMS = 5;

	private final VirtualWorld world = new VirtualWorld(7);

	// Guards against thousands of commands in one pass, whose timeouts run while they
	// wait
	// for a connection, and behind which the tasks of other jobs wait.
	@Test
	void aVmThatHasNotAnsweredSeveralStartsGetsNoMore() {
		for (int i = 0; i < VMS; i++) {
			this.world.addWorker("w" + i);
		}
		this.world.takeOver();
		this.world.submit("wide", 2, VirtualWorld.step(200, 10, 60_000));
		SchedulerState state = this.world.scheduler.state;
		int most = 0;
		for (int i = 0; i < 2000; i++) {
			this.world.clock.runFor(1);
			most = Math.max(most, state.startsInFlight);
			assertThat(state.workers.values())
				.allMatch((worker) -> worker.startsInFlight <= Worker.MAX_STARTS_IN_FLIGHT);
		}
		assertThat(most).isEqualTo(VMS * Worker.MAX_STARTS_IN_FLIGHT);
		assertThat(state.startsInFlight).isZero();
		assertThat(this.world.workers.values().stream().mapToInt((worker) -> worker.running.size()).sum())
			.isEqualTo(200);
	}

	// Guards against starts that are counted for ever, since their VM is lost.
	@Test
	void startsThatAreNeverAnsweredAreNotCountedForever() {
		for (int i = 0; i < VMS; i++) {
			this.world.addWorker("w" + i);
		}
		this.world.takeOver();
		this.world.unanswered = 0.3;
		JobSubmission wide = this.world.submit("wide", 2, VirtualWorld.step(600, 100, 100));
		this.world.clock.runFor(400);
		this.world.crashAndReturn(this.world.workers.get("w1"));
		this.world.clock.runFor(60_000);
		assertThat(this.world.state(wide)).isEqualTo(JobState.COMPLETED);
		assertThat(this.world.scheduler.state.startsInFlight).isZero();
		assertThat(this.world.violations).isEmpty();
	}

}
