package io.lentilstream.jobs.scheduling;

import java.util.Set;

import org.junit.jupiter.api.Test;

import io.lentilstream.jobs.JobState;
import io.lentilstream.jobs.JobSubmission;
import io.lentilstream.model.AvailabilityZoneId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for availability zones that operators evacuate under load.
 */
class ZoneEvacuationTests {

	private static final AvailabilityZoneId ZONE = new AvailabilityZoneId("zone-b");

	private final VirtualWorld world = new VirtualWorld(1);

	private final VirtualWorker other = this.world.addWorker("w1");

	private final VirtualWorker evacuated = this.world.addWorker("w2");

	ZoneEvacuationTests() {
		this.evacuated.zone = ZONE.value();
	}

	@Test
	void noTaskStartsInAnEvacuatedZoneWhileItsRunsStay() {
		this.world.takeOver();
		this.world.submit("job-1", 0, VirtualWorld.step(16, 1000, 3000));
		this.world.clock.runFor(500);
		assertThat(this.evacuated.running).hasSize(8);
		this.world.scheduler.updateEvacuations(Set.of(ZONE));
		JobSubmission second = this.world.submit("job-2", 0, VirtualWorld.step(16, 1000, 1000));
		this.world.clock.runFor(1000);
		assertThat(this.evacuated.running).hasSize(8);
		this.world.clock.runFor(3000);
		assertThat(this.evacuated.running).isEmpty();
		assertThat(this.other.running).isNotEmpty();
		this.world.clock.runFor(3000);
		assertThat(this.world.state(second)).isEqualTo(JobState.COMPLETED);
		assertThat(this.world.violations).isEmpty();
	}

	@Test
	void aZoneThatIsTakenBackGetsTasksAgain() {
		this.world.takeOver();
		this.world.scheduler.updateEvacuations(Set.of(ZONE));
		this.world.submit("job-1", 0, VirtualWorld.step(16, 1000, 10_000));
		this.world.clock.runFor(500);
		assertThat(this.evacuated.running).isEmpty();
		this.world.scheduler.updateEvacuations(Set.of());
		this.world.clock.runFor(500);
		assertThat(this.evacuated.running).hasSize(8);
	}

	@Test
	void aVmThatIsListedDuringTheEvacuationGetsNoTasks() {
		this.world.takeOver();
		this.world.scheduler.updateEvacuations(Set.of(ZONE));
		VirtualWorker late = this.world.addWorker("w3");
		late.zone = ZONE.value();
		this.world.scheduler.workerListed(late.listing());
		this.world.submit("job-1", 0, VirtualWorld.step(24, 1000, 10_000));
		this.world.clock.runFor(1000);
		assertThat(late.running).isEmpty();
		assertThat(this.other.running).hasSize(8);
	}

	@Test
	void aSuccessorStartsNothingInAZoneThatWasEvacuatedBefore() {
		this.world.takeOver();
		this.world.submit("job-1", 0, VirtualWorld.step(16, 1000, 2000));
		this.world.clock.runFor(500);
		this.world.takeOver();
		this.world.scheduler.updateEvacuations(Set.of(ZONE));
		this.world.clock.runFor(2500);
		this.world.submit("job-2", 0, VirtualWorld.step(16, 1000, 2000));
		this.world.clock.runFor(1000);
		assertThat(this.evacuated.running).isEmpty();
		assertThat(this.world.violations).isEmpty();
	}

}
