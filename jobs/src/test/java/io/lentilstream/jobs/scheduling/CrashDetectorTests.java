package io.lentilstream.jobs.scheduling;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class CrashDetectorTests {

	private final VirtualWorld world = new VirtualWorld(1);

	private final VirtualWorker worker = this.world.addWorker("w1");

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void aVmThatIsBackWithANewIncarnationHasCrashed(boolean keepsId) {
		this.world.keepsIds = keepsId;
		startLongTask();
		this.world.crashAndReturn(this.worker);
		this.world.clock.runFor(5000);
		assertThat(crashes()).singleElement().asString().contains("runs, 1").contains("draining, false");
	}

	@Test
	void aVmThatIsBackAfterItsLeasesHaveEndedHasCrashedWithTheRunsThatLapsed() {
		this.world.downMillis = 15_000;
		startLongTask();
		this.world.crashAndReturn(this.worker);
		this.world.clock.runFor(20_000);
		assertThat(crashes()).singleElement().asString().contains("runs, 1");
	}

	@Test
	void aVmThatIsOnlyCutOffHasNotCrashed() {
		startLongTask();
		this.worker.partitioned = true;
		this.world.clock.runFor(10_000);
		this.worker.partitioned = false;
		this.world.clock.runFor(5000);
		assertThat(crashes()).isEmpty();
	}

	@Test
	void aVmThatIsGoneForGoodHasNotCrashed() {
		this.world.downMillis = 200_000;
		startLongTask();
		this.world.crashAndReturn(this.worker);
		this.world.addWorker("w2");
		this.world.clock.runFor(30_000);
		assertThat(crashes()).isEmpty();
	}

	private void startLongTask() {
		this.world.takeOver();
		this.world.submit("job-1", 0, VirtualWorld.step(1, 1000, 60_000));
		this.world.clock.runFor(1000);
		assertThat(this.worker.running).hasSize(1);
	}

	private List<String> crashes() {
		return this.world.log.stream().filter((line) -> line.contains("worker-crashed")).toList();
	}

}
