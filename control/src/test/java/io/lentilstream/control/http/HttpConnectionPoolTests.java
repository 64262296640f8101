package io.lentilstream.control.http;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import io.lentilstream.control.ManualEventLoop;

import static org.assertj.core.api.Assertions.assertThat;

class HttpConnectionPoolTests {

	private static final int MAX_CONNECTIONS = 4;

	private static final long TIMEOUT_MILLIS = 700;

	/** How long calls wait before another connection is opened, in milliseconds. */
	private static final long BUSY_MILLIS = 31;

	private static final long MAX_WAIT_MILLIS = 20_000;

	/** How long bytes take to reach the client at most, in milliseconds. */
	private static final long READ_MILLIS = 20;

	/** Runs timers only when a test advances its time. */
	private final ManualEventLoop timers = new ManualEventLoop();

	private final NioEventLoopGroup group = new NioEventLoopGroup(1);

	private final List<Socket> accepted = new CopyOnWriteArrayList<>();

	private final List<Socket> silent = new CopyOnWriteArrayList<>();

	private final AtomicInteger receivedRequests = new AtomicInteger();

	/** Whether responses are held back. */
	private volatile boolean paused;

	private ServerSocket server;

	private HttpConnectionPool pool;

	@BeforeEach
	void start() throws IOException {
		this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
		this.pool = new HttpConnectionPool(this.timers, this.group,
				new InetSocketAddress(InetAddress.getLoopbackAddress(), this.server.getLocalPort()), MAX_CONNECTIONS);
		startThread(this::accept);
	}

	@AfterEach
	void stop() throws IOException {
		this.group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
		this.server.close();
		for (Socket socket : this.accepted) {
			socket.close();
		}
	}

	// Guards against calls that failed one after the other, each on another connection
	// that had gone silent, until the lease of a leader had expired.
	@Test
	void afterACallWithoutResponseTheNextDoesNotUseAnotherSilentConnection() throws Exception {
		openAllConnections();
		this.silent.addAll(this.accepted);
		CompletableFuture<HttpResult> first = call();
		advance(TIMEOUT_MILLIS);
		assertThat(first.get(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS)).isInstanceOf(HttpResult.NoResponse.class);
		assertThat(call().get(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS)).isInstanceOf(HttpResult.Response.class);
	}

	@Test
	void aConnectionThatRespondedMeanwhileIsKept() throws Exception {
		openAllConnections();
		List<Socket> opened = List.copyOf(this.accepted);
		this.silent.add(opened.get(0));
		this.paused = true;
		List<CompletableFuture<HttpResult>> results = callAtOnce();
		advance(1);
		this.paused = false;
		await(() -> results.stream().filter(CompletableFuture::isDone).count() == MAX_CONNECTIONS - 1);
		advance(TIMEOUT_MILLIS);
		awaitAll(results);
		for (int i = 0; i < MAX_CONNECTIONS; i++) {
			assertThat(call().get(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS)).isInstanceOf(HttpResult.Response.class);
		}
		assertThat(this.accepted).isEqualTo(opened);
	}

	// Guards against a response of the store that takes longer than the timeout on a slow
	// link, and is abandoned and requested again without end.
	@Test
	void aResponseThatKeepsArrivingIsNotAbandoned() throws Exception {
		CompletableFuture<HttpResult> result = callAndReceive("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n");
		for (int i = 0; i < 19; i++) {
			advance(TIMEOUT_MILLIS / 2);
			receive("x");
		}
		assertThat(result).isNotDone();
		receive("x");
		assertThat(result.get(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS)).isInstanceOf(HttpResult.Response.class);
	}

	@Test
	void aResponseThatStallsIsAbandoned() throws Exception {
		CompletableFuture<HttpResult> result = callAndReceive("HTTP/1.1 200 OK\r\n");
		advance(ResponseTimeoutRule.MAX_PAUSE_MILLIS);
		assertThat(result.get(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS))
			.isEqualTo(new HttpResult.NoResponse("timed out receiving a response: 17 bytes, the last "
					+ ResponseTimeoutRule.MAX_PAUSE_MILLIS + " ms ago"));
	}

	@Test
	void aResponseThatNeverEndsIsAbandoned() throws Exception {
		CompletableFuture<HttpResult> result = callAndReceive("HTTP/1.1 200 OK\r\n");
		for (long i = 0; i < ResponseTimeoutRule.MAX_RESPONSE_MILLIS && !result.isDone(); i += 500) {
			receive("x");
			advance(500);
		}
		assertThat(result.get(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS)).isInstanceOf(HttpResult.NoResponse.class);
	}

	private CompletableFuture<HttpResult> callAndReceive(String start) throws Exception {
		this.paused = true;
		CompletableFuture<HttpResult> result = call();
		await(() -> this.receivedRequests.get() > 0);
		receive(start);
		return result;
	}

	// Returns once the client has read the bytes.
	private void receive(String bytes) throws Exception {
		this.accepted.get(0).getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
		TimeUnit.MILLISECONDS.sleep(READ_MILLIS);
		this.group.submit(() -> {
		}).get();
	}

	private void openAllConnections() throws Exception {
		this.paused = true;
		List<CompletableFuture<HttpResult>> results = callAtOnce();
		advance(BUSY_MILLIS);
		await(() -> this.accepted.size() == MAX_CONNECTIONS);
		this.paused = false;
		awaitAll(results);
		advance(1);
	}

	private void advance(long millis) throws Exception {
		this.group.submit(() -> this.timers.runFor(millis)).get();
	}

	private static void await(BooleanSupplier condition) throws InterruptedException {
		for (long i = 0; i < MAX_WAIT_MILLIS && !condition.getAsBoolean(); i++) {
			TimeUnit.MILLISECONDS.sleep(1);
		}
		assertThat(condition.getAsBoolean()).isTrue();
	}

	private static void awaitAll(List<CompletableFuture<HttpResult>> results) throws Exception {
		for (CompletableFuture<HttpResult> result : results) {
			result.get(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

	private List<CompletableFuture<HttpResult>> callAtOnce() throws Exception {
		return this.group.submit(() -> Stream.generate(this::callOnLoop).limit(MAX_CONNECTIONS).toList()).get();
	}

	private CompletableFuture<HttpResult> call() throws Exception {
		return this.group.submit(this::callOnLoop).get();
	}

	private CompletableFuture<HttpResult> callOnLoop() {
		CompletableFuture<HttpResult> result = new CompletableFuture<>();
		this.pool.call(HttpCall.get("/", TIMEOUT_MILLIS), result::complete);
		return result;
	}

	private void accept() throws IOException {
		while (true) {
			Socket socket = this.server.accept();
			this.accepted.add(socket);
			startThread(() -> respond(socket));
		}
	}

	private void respond(Socket socket) throws IOException, InterruptedException {
		BufferedReader reader = new BufferedReader(
				new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
		for (String line = reader.readLine(); line != null; line = reader.readLine()) {
			this.receivedRequests.addAndGet(line.isEmpty() ? 1 : 0);
			if (line.isEmpty() && !this.silent.contains(socket)) {
				while (this.paused) {
					TimeUnit.MILLISECONDS.sleep(1);
				}
				socket.getOutputStream()
					.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
			}
		}
	}

	private static void startThread(Body body) {
		Thread thread = new Thread(() -> {
			try {
				body.run();
			}
			catch (IOException ex) {
				// The test has closed the socket.
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		});
		thread.setDaemon(true);
		thread.start();
	}

	/**
	 * What a thread of the server does.
	 */
	@FunctionalInterface
	private interface Body {

		void run() throws IOException, InterruptedException;

	}

}
