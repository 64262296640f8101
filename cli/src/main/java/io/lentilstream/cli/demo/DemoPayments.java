package io.lentilstream.cli.demo;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

/**
 * A load generator for deferrable requests that must run at most once. Every third
 * idempotency key is sent twice at the same time, through different entry VMs, and a key
 * with an unknown outcome is retried.
 */
final class DemoPayments {

	private static final long INTERVAL_MILLIS = 60;

	private static final long RETRY_DELAY_MILLIS = 500;

	private static final int DUPLICATE_EVERY = 3;

	private static final long POLL_INTERVAL_MILLIS = 20;

	private static final int MAX_COLLECTIONS_IN_FLIGHT = 16;

	private final Supplier<String> entryVms;

	private final DemoClient client;

	private final PropertyChecks checks;

	private final Set<String> accepted = ConcurrentHashMap.newKeySet();

	private final Set<String> collected = ConcurrentHashMap.newKeySet();

	private final Set<String> sent = ConcurrentHashMap.newKeySet();

	private final Map<String, Integer> refusals = new ConcurrentHashMap<>();

	private final Set<String> possiblyRecorded = ConcurrentHashMap.newKeySet();

	private final Map<String, AtomicInteger> outcomes = new ConcurrentHashMap<>();

	private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

	private final AtomicInteger nextNumber = new AtomicInteger();

	private final AtomicInteger inFlight = new AtomicInteger();

	DemoPayments(Supplier<String> entryVms, DemoClient client, PropertyChecks checks) {
		this.entryVms = entryVms;
		this.client = client;
		this.checks = checks;
	}

	void start() {
		this.timer.scheduleAtFixedRate(this::sendNext, 0, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void sendNext() {
		int number = this.nextNumber.getAndIncrement();
		String key = "payment-" + number;
		this.sent.add(key);
		send(key, true);
		if (number % DUPLICATE_EVERY == 0) {
			send(key, true);
		}
	}

	private void send(String key, boolean retry) {
		byte[] body = ("amount of " + key).getBytes(StandardCharsets.UTF_8);
		this.inFlight.incrementAndGet();
		this.client.send("POST", url(), Map.of("Idempotency-Key", key), body).thenAccept((response) -> {
			this.outcomes.computeIfAbsent(response.outcome(), (unused) -> new AtomicInteger()).incrementAndGet();
			if (response.isAccepted() || response.isOk()) {
				this.accepted.add(key);
			}
			if (!response.isNotRun()) {
				this.possiblyRecorded.add(key);
			}
			else {
				this.refusals.merge(key, 1, Integer::sum);
			}
			// A key that was refused as not run, as in a store outage, is not retried, so
			// that the check can prove that it never ran. Unknown outcomes are retried.
			if (retry && !response.isNotRun() && !response.isAccepted() && !response.isOk()) {
				this.timer.schedule(() -> send(key, true), RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
			}
		}).whenComplete((unused, failure) -> this.inFlight.decrementAndGet());
	}

	/**
	 * Stops sending and waits until each request in flight has an outcome, since a late
	 * acceptance must be collected too. The timeouts of the client bound the wait.
	 */
	void stop() throws InterruptedException {
		this.timer.shutdownNow();
		this.timer.awaitTermination(DemoClient.CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		while (this.inFlight.get() > 0) {
			Thread.sleep(POLL_INTERVAL_MILLIS);
		}
	}

	/**
	 * Polls for the results of all accepted requests, several of them at once.
	 * @param deadlineNanos the {@link System#nanoTime()} value at which to give up
	 */
	void collectAll(long deadlineNanos) throws InterruptedException {
		List<String> uncollected = List.copyOf(this.accepted);
		while (!uncollected.isEmpty() && System.nanoTime() < deadlineNanos) {
			for (int start = 0; start < uncollected.size(); start += MAX_COLLECTIONS_IN_FLIGHT) {
				int end = Math.min(uncollected.size(), start + MAX_COLLECTIONS_IN_FLIGHT);
				CompletableFuture.allOf(
						uncollected.subList(start, end).stream().map(this::collect).toArray(CompletableFuture[]::new))
					.join();
			}
			uncollected = uncollected.stream().filter((key) -> !this.collected.contains(key)).toList();
			Thread.sleep(100);
		}
	}

	private CompletableFuture<Void> collect(String key) {
		return this.client.send("GET", url() + "/" + key, Map.of(), new byte[0]).thenAccept((response) -> {
			if (response.isOk()) {
				this.collected.add(key);
				this.checks.wholeAnswer.check(
						new String(response.body(), StandardCharsets.UTF_8).equals("amount of " + key),
						key + " got another body");
			}
		});
	}

	void checkRuns(Map<String, Integer> runs) {
		for (String key : this.sent) {
			int count = runs.getOrDefault(key, 0);
			this.checks.atMostOnce.check(count <= 1, key + " ran " + count + " times");
			if (this.accepted.contains(key)) {
				this.checks.atMostOnce.check(count == 1 && this.collected.contains(key),
						key + " was accepted, ran " + count + " times, collected " + this.collected.contains(key));
			}
			if (this.refusals.containsKey(key) && !this.possiblyRecorded.contains(key)) {
				this.checks.trueNotRun.check(count == 0, key + " was refused as not run and ran");
			}
		}
	}

	private String url() {
		return this.entryVms.get() + "/requests/" + DemoNames.TEAM + "/" + DemoNames.PAYMENT;
	}

	int acceptedCount() {
		return this.accepted.size();
	}

	int collectedCount() {
		return this.collected.size();
	}

	Map<String, AtomicInteger> outcomes() {
		return this.outcomes;
	}

}
