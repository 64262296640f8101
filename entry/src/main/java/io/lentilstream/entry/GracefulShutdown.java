package io.lentilstream.entry;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import com.google.common.flogger.FluentLogger;

import io.lentilstream.model.MonotonicClock;
import io.lentilstream.model.MonotonicTime;

/**
 * The sequence of a graceful shutdown: readiness ends, the load balancer removes the
 * entry VM, peers are notified, new requests are refused, requests in flight finish, and
 * shards are released.
 */
final class GracefulShutdown {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final String PREFIX = "shutdown: ";

	private static final long POLL_MILLIS = 20;

	/**
	 * Timeout of waiting for requests in flight and of releasing shards, each, in
	 * milliseconds. It exceeds the deadlines of requests that callers wait for.
	 */
	private static final long STEP_TIMEOUT_MILLIS = 60_000;

	private final Steps steps;

	private final MonotonicClock clock;

	private final ScheduledExecutorService timers;

	private final long lameDuckMillis;

	private final AtomicBoolean initiated = new AtomicBoolean();

	private final CompletableFuture<Void> completion = new CompletableFuture<>();

	GracefulShutdown(Steps steps, MonotonicClock clock, ScheduledExecutorService timers, long lameDuckMillis) {
		this.steps = steps;
		this.clock = clock;
		this.timers = timers;
		this.lameDuckMillis = lameDuckMillis;
	}

	boolean isInitiated() {
		return this.initiated.get();
	}

	CompletableFuture<Void> completion() {
		return this.completion;
	}

	CompletableFuture<Void> initiate() {
		if (this.initiated.compareAndSet(false, true)) {
			logger.atInfo().log(PREFIX + "begins.");
			this.timers.schedule(this::announceAndDrain, this.lameDuckMillis, TimeUnit.MILLISECONDS);
		}
		return this.completion;
	}

	private void announceAndDrain() {
		this.steps.announceShutdown();
		this.steps.refuseNewRequests();
		awaitRequestsInFlight(this.clock.now().plusMillis(STEP_TIMEOUT_MILLIS));
	}

	private void awaitRequestsInFlight(MonotonicTime deadline) {
		int inFlight = this.steps.requestsInFlight();
		if (inFlight > 0 && this.clock.now().isBefore(deadline)) {
			this.timers.schedule(() -> awaitRequestsInFlight(deadline), POLL_MILLIS, TimeUnit.MILLISECONDS);
			return;
		}
		if (inFlight > 0) {
			logger.atSevere().log(PREFIX + "%d requests did not finish before the timeout.", inFlight);
		}
		this.timers.schedule(this::abandonRelease, STEP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		this.steps.releaseShards().thenRun(() -> {
			logger.atInfo().log(PREFIX + "ended.");
			this.completion.complete(null);
		});
	}

	private void abandonRelease() {
		if (this.completion.complete(null)) {
			logger.atSevere()
				.log(PREFIX
						+ "shards were not released before the timeout; other VMs acquire them after the store lease lapses.");
		}
	}

	/**
	 * The steps that the components of the daemon perform.
	 */
	interface Steps {

		/**
		 * Notifies all peers that this process is shutting down.
		 */
		void announceShutdown();

		/**
		 * Refuses new requests as not run. Requests in flight continue.
		 */
		void refuseNewRequests();

		/**
		 * Returns the number of requests whose callers have no outcome yet.
		 * @return the count
		 */
		int requestsInFlight();

		/**
		 * Releases all shards and revokes the store lease.
		 * @return a future that completes when peers can acquire the shards
		 */
		CompletableFuture<Void> releaseShards();

	}

}
