package io.lentilstream.cli.demo;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Sends deferrable requests that must not be repeated. Every third key is sent to two
 * entry VMs at once, and a key without a clear outcome is sent again.
 */
final class DemoPayments {

	private static final long INTERVAL_MILLIS = 60;

	private static final long RETRY_MILLIS = 500;

	private static final int DOUBLED = 3;

	private final DemoCluster cluster;

	private final DemoClient client;

	private final Properties properties;

	private final Set<String> accepted = ConcurrentHashMap.newKeySet();

	private final Set<String> collected = ConcurrentHashMap.newKeySet();

	private final Set<String> sent = ConcurrentHashMap.newKeySet();

	private final Map<String, Integer> refusedOnly = new ConcurrentHashMap<>();

	private final Set<String> maybeRecorded = ConcurrentHashMap.newKeySet();

	private final Map<String, AtomicInteger> outcomes = new ConcurrentHashMap<>();

	private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

	private final AtomicInteger next = new AtomicInteger();

	DemoPayments(DemoCluster cluster, DemoClient client, Properties properties) {
		this.cluster = cluster;
		this.client = client;
		this.properties = properties;
	}

	void start() {
		this.timer.scheduleAtFixedRate(this::sendNext, 0, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void sendNext() {
		int number = this.next.getAndIncrement();
		String key = "payment-" + number;
		this.sent.add(key);
		send(key, true);
		if (number % DOUBLED == 0) {
			send(key, true);
		}
	}

	private void send(String key, boolean retry) {
		byte[] body = ("amount of " + key).getBytes(StandardCharsets.UTF_8);
		this.client.send("POST", url(), Map.of("Idempotency-Key", key), body).thenAccept((answer) -> {
			this.outcomes.computeIfAbsent(answer.outcome(), (unused) -> new AtomicInteger()).incrementAndGet();
			if (answer.isAccepted() || answer.isOk()) {
				this.accepted.add(key);
			}
			if (!answer.isNotRun()) {
				this.maybeRecorded.add(key);
			}
			else {
				this.refusedOnly.merge(key, 1, Integer::sum);
			}
			// A key that was refused in an outage is given up, so that "not run" can be
			// checked; one without a clear outcome is sent again.
			if (retry && !answer.isNotRun() && !answer.isAccepted() && !answer.isOk()) {
				this.timer.schedule(() -> send(key, true), RETRY_MILLIS, TimeUnit.MILLISECONDS);
			}
		});
	}

	void stop() {
		this.timer.shutdownNow();
	}

	/**
	 * Collects the answers of all accepted requests.
	 * @param limitNanos the instant by {@link System#nanoTime()} at which to give up
	 */
	void collectAll(long limitNanos) throws InterruptedException {
		List<String> open = new ArrayList<>(this.accepted);
		while (!open.isEmpty() && System.nanoTime() < limitNanos) {
			open.removeIf(this::collect);
			Thread.sleep(100);
		}
	}

	private boolean collect(String key) {
		DemoAnswer answer = this.client.send("GET", url() + "/" + key, Map.of(), new byte[0]).join();
		if (!answer.isOk()) {
			return false;
		}
		this.collected.add(key);
		this.properties.wholeAnswer.check(new String(answer.body(), StandardCharsets.UTF_8).equals("amount of " + key),
				key + " got another body");
		return true;
	}

	void checkRuns(Map<String, Integer> runs) {
		for (String key : this.sent) {
			int count = runs.getOrDefault(key, 0);
			this.properties.atMostOnce.check(count <= 1, key + " ran " + count + " times");
			if (this.accepted.contains(key)) {
				this.properties.atMostOnce.check(count == 1 && this.collected.contains(key),
						key + " was accepted, ran " + count + " times, collected " + this.collected.contains(key));
			}
			if (this.refusedOnly.containsKey(key) && !this.maybeRecorded.contains(key)) {
				this.properties.trueNotRun.check(count == 0, key + " was refused as not run and ran");
			}
		}
	}

	private String url() {
		return this.cluster.pick() + "/requests/" + DemoNames.TEAM + "/" + DemoNames.PAYMENT;
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
