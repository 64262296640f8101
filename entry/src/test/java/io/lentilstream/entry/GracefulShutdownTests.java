package io.lentilstream.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Test;

import io.lentilstream.entry.fakes.ManualTimers;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a shutdown that interrupts requests in flight or never completes.
 */
class GracefulShutdownTests implements GracefulShutdown.Steps {

	private final ManualTimers timers = new ManualTimers();

	private final List<String> events = new ArrayList<>();

	private final CompletableFuture<Void> released = new CompletableFuture<>();

	private final GracefulShutdown shutdown = new GracefulShutdown(this, this.timers, this.timers, 1_000);

	private int inFlight = 2;

	@Override
	public void announceShutdown() {
		this.events.add("shutdown announced");
	}

	@Override
	public void refuseNewRequests() {
		this.events.add("refuses");
	}

	@Override
	public int requestsInFlight() {
		return this.inFlight;
	}

	@Override
	public CompletableFuture<Void> releaseShards() {
		this.events.add("releases");
		return this.released;
	}

	@Test
	void continuesServingUntilTheLameDuckPeriodEnds() {
		this.shutdown.initiate();
		assertThat(this.shutdown.isInitiated()).isTrue();
		this.timers.advance(Duration.ofMillis(999));
		assertThat(this.events).isEmpty();
		this.timers.advance(Duration.ofMillis(1));
		assertThat(this.events).containsExactly("shutdown announced", "refuses");
	}

	@Test
	void releasesShardsOnlyAfterAllRequestsInFlightCompleted() {
		CompletableFuture<Void> completion = this.shutdown.initiate();
		this.timers.advance(Duration.ofSeconds(10));
		assertThat(this.events).doesNotContain("releases");
		this.inFlight = 0;
		this.timers.advance(Duration.ofMillis(20));
		assertThat(this.events).contains("releases");
		assertThat(completion).isNotDone();
		this.released.complete(null);
		assertThat(completion).isCompleted();
	}

	@Test
	void completesEvenIfARequestHangsAndTheStoreIsDown() {
		CompletableFuture<Void> completion = this.shutdown.initiate();
		this.timers.advance(Duration.ofSeconds(125));
		assertThat(this.events).contains("releases");
		assertThat(completion).isCompleted();
	}

	@Test
	void runsEachStepOnceEvenIfInitiatedRepeatedly() {
		assertThat(this.shutdown.initiate()).isSameAs(this.shutdown.initiate());
		this.inFlight = 0;
		this.timers.advance(Duration.ofSeconds(2));
		assertThat(this.events).containsExactly("shutdown announced", "refuses", "releases");
	}

}
