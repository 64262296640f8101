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
 * Sends urgent requests at fixed times, whatever the answers, and checks each answer.
 * Latency counts from the intended time.
 */
final class DemoUrgentLoad {

	static final long TIMEOUT_MILLIS = 500;

	private final DemoCluster cluster;

	private final DemoClient client;

	private final Properties properties;

	private final ConcurrentHistogram latencyMicros = new ConcurrentHistogram(3);

	private final Map<String, AtomicLong> outcomes = new ConcurrentHashMap<>();

	private final Map<String, Boolean> refusedKeys = new ConcurrentHashMap<>();

	private final AtomicLong scheduled = new AtomicLong();

	private final AtomicLong sent = new AtomicLong();

	private final AtomicLong ended = new AtomicLong();

	private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

	DemoUrgentLoad(DemoCluster cluster, DemoClient client, Properties properties) {
		this.cluster = cluster;
		this.client = client;
		this.properties = properties;
	}

	void start(int requestsPerSecond) {
		long interval = TimeUnit.SECONDS.toNanos(1) / requestsPerSecond;
		long origin = System.nanoTime();
		this.timer.scheduleAtFixedRate(() -> sendOne(origin, interval), 0, interval, TimeUnit.NANOSECONDS);
	}

	/**
	 * Sends requests at once to one entry VM that is about to drain. Each must get an
	 * answer, not a broken connection.
	 * @param member the entry VM
	 * @param requests the number of requests
	 * @return completes when all have their answer
	 */
	CompletableFuture<Void> burst(DemoCluster.Member member, int requests) {
		List<CompletableFuture<DemoAnswer>> answers = new ArrayList<>();
		for (int i = 0; i < requests; i++) {
			answers.add(send(member.url(), TIMEOUT_MILLIS, System.nanoTime()));
		}
		answers.forEach((answer) -> answer.thenAccept((told) -> this.properties.gracefulStop
			.check(told.isOk() || told.isNotRun(), "a request in flight at the drain got " + told.outcome())));
		return CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new));
	}

	/**
	 * Sends requests whose deadline is so close that some must be refused.
	 * @param requests the number of requests
	 * @param timeoutMillis the timeout of each, in milliseconds
	 */
	void burstWithTimeout(int requests, long timeoutMillis) {
		for (int i = 0; i < requests; i++) {
			send(this.cluster.pick(), timeoutMillis, System.nanoTime());
		}
	}

	private void sendOne(long origin, long interval) {
		long intended = Math.min(origin + this.scheduled.getAndIncrement() * interval, System.nanoTime());
		send(this.cluster.pick(), TIMEOUT_MILLIS, intended);
	}

	private CompletableFuture<DemoAnswer> send(String entryVm, long timeoutMillis, long intended) {
		long number = this.sent.getAndIncrement();
		String key = "urgent-" + number;
		byte[] body = ("body of " + key).getBytes(StandardCharsets.UTF_8);
		Map<String, String> headers = Map.of("Idempotency-Key", key, "Lentilstream-Timeout-Ms",
				Long.toString(timeoutMillis));
		String url = entryVm + "/services/" + DemoNames.TEAM + "/" + DemoNames.SERVICE + "/confirm";
		CompletableFuture<DemoAnswer> sending = this.client.send("POST", url, headers, body);
		sending.thenAccept((answer) -> answered(key, body, intended, answer));
		return sending;
	}

	private void answered(String key, byte[] body, long intended, DemoAnswer answer) {
		this.ended.incrementAndGet();
		this.outcomes.computeIfAbsent(answer.outcome(), (unused) -> new AtomicLong()).incrementAndGet();
		if (answer.isOk()) {
			this.latencyMicros.recordValue((System.nanoTime() - intended) / 1_000);
			this.properties.wholeAnswer.check(Arrays.equals(body, answer.body()), key + " got another body");
		}
		else if (answer.isNotRun()) {
			this.refusedKeys.put(key, true);
		}
	}

	void stop() throws InterruptedException {
		this.timer.shutdownNow();
		for (int i = 0; i < 200 && this.ended.get() < this.sent.get(); i++) {
			Thread.sleep(20);
		}
	}

	long unanswered() {
		return this.sent.get() - this.ended.get();
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
