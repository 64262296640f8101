package io.lentilstream.cli.demo;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a demonstration that reports accepted work as lost because it stopped
 * waiting for it. The server stands in for the entry VMs.
 */
class DemoCollectionTests {

	private final ExecutorService threads = Executors.newCachedThreadPool();

	private final Map<String, Integer> runs = new ConcurrentHashMap<>();

	private final PropertyChecks checks = new PropertyChecks();

	private HttpServer server;

	private DemoClient client;

	private volatile long acceptMillis;

	private volatile long collectMillis;

	@BeforeEach
	void start() throws IOException {
		this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
		this.server.setExecutor(this.threads);
		this.server.createContext("/requests", this::handlePayment);
		this.server.createContext("/jobs", this::handleJob);
		this.server.start();
		this.client = new DemoClient();
	}

	@AfterEach
	void stop() {
		this.client.close();
		this.server.stop(0);
		this.threads.shutdownNow();
	}

	@Test
	void paymentThatIsAcceptedAfterTheStopIsCollected() throws InterruptedException {
		this.acceptMillis = 400;
		DemoPayments payments = new DemoPayments(this::url, this.client, this.checks);
		payments.start();
		Thread.sleep(200);
		payments.stop();
		payments.collectAll(System.nanoTime() + TimeUnit.SECONDS.toNanos(20));
		Thread.sleep(600);
		payments.checkRuns(Map.copyOf(this.runs));
		assertThat(payments.acceptedCount()).isPositive();
		assertThat(this.checks.atMostOnce.examples()).isEmpty();
	}

	@Test
	void slowAnswersOfManyPaymentsAreCollectedAtTheSameTime() throws InterruptedException {
		this.collectMillis = 1_000;
		DemoPayments payments = new DemoPayments(this::url, this.client, this.checks);
		payments.start();
		while (this.runs.size() < 25) {
			Thread.sleep(20);
		}
		payments.stop();
		long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(15);
		payments.collectAll(deadlineNanos);
		assertThat(System.nanoTime()).isLessThan(deadlineNanos);
		payments.checkRuns(Map.copyOf(this.runs));
		assertThat(this.checks.atMostOnce.examples()).isEmpty();
	}

	@Test
	void jobThatHasEndedIsSeenEvenIfNoTimeIsLeft() throws InterruptedException {
		DemoJobs jobs = new DemoJobs(this::url, this.client);
		jobs.submit("ledgers", "batch", 1, "sleep:1ms", 1);
		assertThat(jobs.awaitCompletion(System.nanoTime() - 1)).isEmpty();
	}

	private void handlePayment(HttpExchange exchange) throws IOException {
		if (exchange.getRequestMethod().equals("POST")) {
			this.runs.putIfAbsent(exchange.getRequestHeaders().getFirst("Idempotency-Key"), 1);
			reply(exchange, 202, "", this.acceptMillis);
			return;
		}
		String path = exchange.getRequestURI().getPath();
		reply(exchange, 200, "amount of " + path.substring(path.lastIndexOf('/') + 1), this.collectMillis);
	}

	private void handleJob(HttpExchange exchange) throws IOException {
		boolean submission = exchange.getRequestMethod().equals("POST");
		reply(exchange, submission ? 202 : 200, "{\"ended\": true}", 0);
	}

	private static void reply(HttpExchange exchange, int status, String body, long delayMillis) throws IOException {
		try (exchange) {
			exchange.getRequestBody().readAllBytes();
			Thread.sleep(delayMillis);
			byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
			exchange.sendResponseHeaders(status, bytes.length);
			exchange.getResponseBody().write(bytes);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private String url() {
		return "http://127.0.0.1:" + this.server.getAddress().getPort();
	}

}
