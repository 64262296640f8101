package io.lentilstream.cli.demo;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.HdrHistogram.ConcurrentHistogram;

/**
 * An open-loop load generator for urgent requests: it sends at a fixed rate, whether or
 * not earlier requests have completed, and checks each response. Latency is measured from
 * the intended send time, so a delayed send counts as latency.
 */
final class DemoUrgentLoad {

	static final long TIMEOUT_MILLIS = 500;

	/**
	 * Timeout of the requests in flight at a drain, in milliseconds. It is so long that a
	 * slow endpoint does not end them, but only the drain can.
	 */
	static final long DRAIN_TIMEOUT_MILLIS = 10_000;

	private final DemoCluster cluster;

	private final DemoClient client;

	private final PropertyChecks checks;

	private final ConcurrentHistogram latencyMicros = new ConcurrentHistogram(3);

	private final Map<String, AtomicLong> outcomes = new ConcurrentHashMap<>();

	private final Map<String, Boolean> refusedKeys = new ConcurrentHashMap<>();

	private final AtomicLong scheduledCount = new AtomicLong();

	private final AtomicLong sentCount = new AtomicLong();

	private final AtomicLong completedCount = new AtomicLong();

	private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

	DemoUrgentLoad(DemoCluster cluster, DemoClient client, PropertyChecks checks) {
		this.cluster = cluster;
		this.client = client;
		this.checks = checks;
	}

	void start(int requestsPerSecond) {
		long intervalNanos = TimeUnit.SECONDS.toNanos(1) / requestsPerSecond;
		long startNanos = System.nanoTime();
		this.timer.scheduleAtFixedRate(() -> sendNext(startNanos, intervalNanos), 0, intervalNanos,
				TimeUnit.NANOSECONDS);
	}

	/**
	 * Sends requests at once to one entry VM that is about to drain. Each must be
	 * answered or refused as not run; a broken connection is a violation.
	 * @param member the entry VM
	 * @param requests the number of requests
	 * @return a future that completes when all requests have completed
	 */
	CompletableFuture<Void> sendBurst(DemoCluster.Member member, int requests) {
		List<CompletableFuture<DemoResponse>> responses = new ArrayList<>();
		for (int i = 0; i < requests; i++) {
			responses.add(send(member.url(), DRAIN_TIMEOUT_MILLIS, System.nanoTime()));
		}
		long startNanos = System.nanoTime();
		responses.forEach((response) -> response.thenAccept((received) -> this.checks.gracefulStop
			.check(received.isOk() || received.isNotRun(), "a request in flight at the drain got %s after %d ms"
				.formatted(received.outcome(), TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos)))));
		return CompletableFuture.allOf(responses.toArray(CompletableFuture[]::new));
	}

	/**
	 * Sends requests whose timeout is so short that some must be refused.
	 * @param requests the number of requests
	 * @param timeoutMillis the timeout of each request in milliseconds
	 */
	void sendBurstWithTimeout(int requests, long timeoutMillis) {
		for (int i = 0; i < requests; i++) {
			send(this.cluster.nextBaseUrl(), timeoutMillis, System.nanoTime());
		}
	}

	private void sendNext(long startNanos, long intervalNanos) {
		long intendedNanos = Math.min(startNanos + this.scheduledCount.getAndIncrement() * intervalNanos,
				System.nanoTime());
		send(this.cluster.nextBaseUrl(), TIMEOUT_MILLIS, intendedNanos);
	}

	private CompletableFuture<DemoResponse> send(String entryVm, long timeoutMillis, long intendedNanos) {
		long number = this.sentCount.getAndIncrement();
		String key = "urgent-" + number;
		byte[] body = ("body of " + key).getBytes(StandardCharsets.UTF_8);
		Map<String, String> headers = Map.of("Idempotency-Key", key, "Lentilstream-Timeout-Ms",
				Long.toString(timeoutMillis));
		String url = entryVm + "/services/" + DemoNames.TEAM + "/" + DemoNames.SERVICE + "/confirm";
		CompletableFuture<DemoResponse> pending = this.client.send("POST", url, headers, body);
		pending.thenAccept((response) -> recordResponse(key, body, intendedNanos, response));
		return pending;
	}

	private void recordResponse(String key, byte[] body, long intendedNanos, DemoResponse response) {
		this.completedCount.incrementAndGet();
		this.outcomes.computeIfAbsent(response.outcome(), (unused) -> new AtomicLong()).incrementAndGet();
		if (response.isOk()) {
			this.latencyMicros.recordValue((System.nanoTime() - intendedNanos) / 1_000);
			this.checks.wholeAnswer.check(Arrays.equals(body, response.body()), key + " got another body");
		}
		else if (response.isNotRun()) {
			this.refusedKeys.put(key, true);
		}
	}

	void stop() throws InterruptedException {
		this.timer.shutdownNow();
		for (int i = 0; i < 200 && this.completedCount.get() < this.sentCount.get(); i++) {
			Thread.sleep(20);
		}
	}

	long pendingCount() {
		return this.sentCount.get() - this.completedCount.get();
	}

	ConcurrentHistogram latencyMicros() {
		return this.latencyMicros;
	}

	Map<String, AtomicLong> outcomes() {
		return new TreeMap<>(this.outcomes);
	}

	Iterable<String> refusedKeys() {
		return this.refusedKeys.keySet();
	}

}
