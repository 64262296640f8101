package io.lentilstream.control.http;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.Future;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class HttpServerTests {

	private static final int TIMEOUT_MILLIS = 5000;

	private static final int OK = 200;

	private static final String END_OF_HEAD = "\r\n\r\n";

	private static final int MANY = 5000;

	private static final int MAX_BODY_BYTES = 200_000;

	private static final int LARGE_BODY_BYTES = 20_000_000;

	private static final long PAUSE_MILLIS = 200;

	private final NioEventLoopGroup group = new NioEventLoopGroup(1);

	private HttpServer server;

	private boolean halfCloses;

	private final List<String> handled = Collections.synchronizedList(new ArrayList<>());

	@AfterEach
	void stop() {
		this.group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
	}

	// Guards against a second answer to the first request, which ended the process.
	@Test
	void requestsThatArriveTogetherAreAnsweredOneAfterTheOther() throws IOException, InterruptedException {
		String responses = send(get("/first") + get("/second") + get("/third"), 3, this::respondLater);
		assertThat(this.handled).containsExactly("/first", "/second", "/third");
		assertThat(responses.indexOf("/first")).isLessThan(responses.indexOf("/second"));
		assertThat(responses.indexOf("/second")).isLessThan(responses.indexOf("/third"));
	}

	@Test
	void aRequestThatArrivesWhileAnotherIsHandledWaitsForItsResponse() throws IOException, InterruptedException {
		String responses = send(get("/first") + get("/second").substring(0, 9), 1, this::respondLater);
		assertThat(responses).contains("/first");
		assertThat(this.handled).containsExactly("/first");
	}

	@Test
	void requestsThatAreAnsweredAtOnceAreAnsweredInOrder() throws IOException, InterruptedException {
		String responses = send(get("/first") + get("/second"), 2, (uri, responder) -> responder.run());
		assertThat(responses.indexOf("/first")).isLessThan(responses.indexOf("/second"));
	}

	// Callers may send hundreds of requests at once, and the stack of a thread is small.
	@Test
	void requestsThatWaitForAResponseAreNotHandledWithinIt() throws IOException, InterruptedException {
		AtomicInteger nested = new AtomicInteger();
		AtomicInteger mostNested = new AtomicInteger();
		String waiting = IntStream.range(0, 40).mapToObj((number) -> get("/" + number)).collect(Collectors.joining());
		send(get("/first") + waiting, 41, (uri, responder) -> {
			if (uri.equals("/first")) {
				respondLater(uri, responder);
				return;
			}
			mostNested.accumulateAndGet(nested.incrementAndGet(), Math::max);
			responder.run();
			nested.decrementAndGet();
		});
		assertThat(mostNested).hasValue(1);
	}

	@Test
	void manyRequestsThatArriveTogetherAreAnswered() throws IOException, InterruptedException {
		String responses = send(get("/").repeat(MANY), MANY, (uri, responder) -> responder.run());
		assertThat(responses.split("HTTP/1.1 200", -1)).hasSize(MANY + 1);
	}

	// Guards against received requests that are dropped by a shutdown.
	@Test
	void requestsThatWaitAreAnsweredBeforeAStoppingServerClosesTheirConnection()
			throws IOException, InterruptedException {
		String responses = send(get("/first") + get("/second") + get("/third"), 3, (uri, responder) -> {
			this.server.stop();
			respondLater(uri, responder);
		});
		assertThat(this.handled).containsExactly("/first", "/second", "/third");
		assertThat(responses.split("connection: close", -1)).hasSize(2);
	}

	@Test
	void aRequestThatArrivesBehindAnotherIsAnsweredBeforeADrainingServerClosesTheConnection()
			throws IOException, InterruptedException {
		String responses = send(get("/first") + get("/" + "x".repeat(4000)), 2, (uri, responder) -> {
			this.server.closeAfterResponses();
			this.group.schedule(responder, 200, TimeUnit.MILLISECONDS);
		});
		assertThat(responses.split("HTTP/1.1 200", -1)).hasSize(3);
	}

	// Netty reads 2 KiB at first.
	@Test
	void requestsThatArriveInSeveralReadsAreAnsweredBeforeADrainingServerClosesTheConnection()
			throws IOException, InterruptedException {
		String responses = send(get("/first") + get("/" + "x".repeat(2500)) + get("/third"), 3, (uri, responder) -> {
			this.server.closeAfterResponses();
			responder.run();
		});
		assertThat(responses.split("HTTP/1.1 200", -1)).hasSize(4);
	}

	@Test
	void aClientThatSendsNoMoreStillReceivesTheResponses() throws IOException, InterruptedException {
		this.halfCloses = true;
		String responses = send(get("/first") + get("/second"), 2, this::respondLater);
		assertThat(responses).contains("/first", "/second");
	}

	@Test
	void aDrainingServerClosesEachConnectionAfterItsNextResponse() throws IOException, InterruptedException {
		String responses = send(get("/first"), 1, (uri, responder) -> {
			this.server.closeAfterResponses();
			responder.run();
		});
		assertThat(responses).contains("connection: close");
	}

	// Guards against requests that are cut by the end of their process.
	@Test
	void requestsThatWaitForTheirHandlerAreAnsweredWhenTheProcessEnds() throws IOException, InterruptedException {
		CompletableFuture<Integer> answered = new CompletableFuture<>();
		String responses = send(get("/first") + get("/second"), 2, (uri, responder) -> this.group
			.schedule(() -> answered.complete(this.server.answerUnfinished()), 50, TimeUnit.MILLISECONDS));
		assertThat(answered).succeedsWithin(Duration.ofMillis(TIMEOUT_MILLIS)).isEqualTo(2);
		assertThat(responses.split("HTTP/1.1 503", -1)).hasSize(3);
		assertThat(responses.split("connection: close", -1)).hasSize(2);
	}

	@Test
	void aResponseAfterTheEndOfItsRequestIsIgnored() throws IOException, InterruptedException {
		String responses = send(get("/first"), 1, (uri, responder) -> this.group.execute(() -> {
			this.server.answerUnfinished();
			responder.run();
		}));
		assertThat(responses).contains("HTTP/1.1 503").doesNotContain("HTTP/1.1 200");
	}

	@Test
	void theLastResponseArrivesAlthoughTheClientSendsMore() throws IOException, InterruptedException {
		String responses = send(
				get("/first") + "POST / HTTP/1.1\r\nContent-Length: 100000\r\n\r\n" + "x".repeat(90_000), 1,
				(uri, responder) -> this.group.schedule(() -> {
					this.server.closeAfterResponses();
					responder.run();
				}, 100, TimeUnit.MILLISECONDS));
		assertThat(responses).contains("HTTP/1.1 200").contains("connection: close");
	}

	// A refusal that overtakes a response is taken for that response.
	@Test
	void aBodyThatIsTooLargeIsRefusedAfterTheResponsesBeforeIt() throws IOException, InterruptedException {
		String responses = send(get("/first") + "POST /large HTTP/1.1\r\nContent-Length: 100000000\r\n\r\n", 2,
				this::respondLater);
		assertThat(responses.indexOf("HTTP/1.1 200")).isNotNegative().isLessThan(responses.indexOf("HTTP/1.1 4"));
		assertThat(this.handled).containsExactly("/first");
	}

	@Test
	void bodiesThatArriveTogetherTakeBoundedMemory() throws IOException, InterruptedException {
		InetSocketAddress address = freeAddress();
		this.server = new HttpServer((request, responder) -> respond(request.uri(), responder), 1 << 20);
		this.server.listen(this.group, address);
		byte[] unfinished = ("POST / HTTP/1.1\r\nContent-Length: 1000001\r\n\r\n" + "x".repeat(1_000_000))
			.getBytes(StandardCharsets.US_ASCII);
		List<Socket> sockets = new ArrayList<>();
		for (int i = 0; i < 60; i++) {
			Socket socket = new Socket();
			socket.connect(address, TIMEOUT_MILLIS);
			socket.getOutputStream().write(unfinished);
			sockets.add(socket);
		}
		Thread.sleep(5 * PAUSE_MILLIS);
		List<Socket> open = new ArrayList<>();
		for (Socket socket : sockets) {
			if (open(socket)) {
				open.add(socket);
			}
		}
		assertThat(open).hasSizeBetween(20, 40);
		open.get(0).setSoTimeout(TIMEOUT_MILLIS);
		open.get(0).getOutputStream().write('x');
		assertThat(read(new BufferedInputStream(open.get(0).getInputStream()), 1)).contains("HTTP/1.1 200");
		for (Socket socket : sockets) {
			socket.close();
		}
	}

	private static boolean open(Socket socket) throws IOException {
		socket.setSoTimeout(10);
		try {
			socket.getInputStream().read();
			return false;
		}
		catch (SocketTimeoutException ex) {
			return true;
		}
		catch (IOException ex) {
			return false;
		}
	}

	// Guards against a response of the decoder that a client takes for that of its first
	// request.
	@Test
	void aRequestThatIsTooLargeIsAnsweredAfterTheRequestBeforeIt() throws IOException, InterruptedException {
		String responses = send(get("/first") + "POST / HTTP/1.1\r\nContent-Length: 200001\r\n\r\n", 2,
				this::respondLater);
		assertThat(responses).startsWith("HTTP/1.1 200").contains("HTTP/1.1 413");
	}

	@Test
	void aRequestThatIsTooLargeAndTheLastDoesNotCutTheRequestBeforeIt() throws IOException, InterruptedException {
		String responses = send(
				get("/first") + "POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: 200001\r\n\r\n", 2,
				this::respondLater);
		assertThat(responses).startsWith("HTTP/1.1 200").contains("HTTP/1.1 413");
	}

	@Test
	void aRequestThatIsTooLargeAndExpectsToContinueIsAnsweredAfterTheRequestBeforeIt()
			throws IOException, InterruptedException {
		String responses = send(
				get("/first") + "POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 200001\r\n\r\n", 2,
				this::respondLater);
		assertThat(responses).startsWith("HTTP/1.1 200").contains("HTTP/1.1 413");
	}

	// Guards against a connection that is closed with a response that is not sent yet.
	@Test
	void aClientThatSendsNoMoreReceivesAResponseThatIsNotSentYet() throws IOException, InterruptedException {
		InetSocketAddress address = freeAddress();
		this.server = new HttpServer(
				(request, responder) -> responder.accept(new HttpHandler.Response(OK, new byte[LARGE_BODY_BYTES], 0)),
				MAX_BODY_BYTES);
		this.server.listen(this.group, address);
		try (Socket socket = new Socket()) {
			socket.setSoTimeout(TIMEOUT_MILLIS);
			socket.connect(address, TIMEOUT_MILLIS);
			socket.getOutputStream().write(get("/").getBytes(StandardCharsets.US_ASCII));
			assertThat(socket.getInputStream().read()).isEqualTo('H');
			socket.shutdownOutput();
			Thread.sleep(PAUSE_MILLIS);
			assertThat(socket.getInputStream().readAllBytes()).hasSizeGreaterThan(LARGE_BODY_BYTES);
		}
	}

	// Guards against requests that are cut by a process which had no processor time.
	@Test
	void aRequestThatArrivesWhileTheEventLoopIsBusyIsAnsweredByAStoppingServer()
			throws IOException, InterruptedException {
		InetSocketAddress address = freeAddress();
		this.server = new HttpServer((request, responder) -> respond(request.uri(), responder), MAX_BODY_BYTES);
		this.server.listen(this.group, address);
		try (Socket socket = new Socket()) {
			socket.setSoTimeout(TIMEOUT_MILLIS);
			socket.connect(address, TIMEOUT_MILLIS);
			socket.getOutputStream().write(get("/first").getBytes(StandardCharsets.US_ASCII));
			InputStream input = socket.getInputStream();
			assertThat(read(input, 1)).contains("/first");
			CountDownLatch busy = new CountDownLatch(1);
			Future<?> stopped = this.group.submit(() -> {
				busy.countDown();
				Thread.sleep(PAUSE_MILLIS);
				this.server.stop();
				return null;
			});
			busy.await();
			socket.getOutputStream().write(get("/second").getBytes(StandardCharsets.US_ASCII));
			stopped.syncUninterruptibly();
			assertThat(read(input, 1)).contains("/second").contains("connection: close");
		}
	}

	// Guards against a request that is cut while its body arrives.
	@Test
	void aRequestWhoseBodyIsStillArrivingIsAnsweredByAStoppingServer() throws IOException, InterruptedException {
		InetSocketAddress address = freeAddress();
		this.server = new HttpServer((request, responder) -> respond(request.uri(), responder), MAX_BODY_BYTES);
		this.server.listen(this.group, address);
		try (Socket socket = new Socket()) {
			socket.setSoTimeout(TIMEOUT_MILLIS);
			socket.connect(address, TIMEOUT_MILLIS);
			socket.getOutputStream()
				.write("POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n"
					.getBytes(StandardCharsets.US_ASCII));
			InputStream input = socket.getInputStream();
			assertThat(read(input, 1)).startsWith("HTTP/1.1 100");
			this.group.submit(this.server::stop).syncUninterruptibly();
			Thread.sleep(PAUSE_MILLIS);
			socket.getOutputStream().write("body".getBytes(StandardCharsets.US_ASCII));
			assertThat(read(input, 1)).startsWith("HTTP/1.1 200").contains("connection: close");
		}
	}

	// Guards against memory that grows with the fields of heads, each of which takes far
	// more memory than its bytes.
	@Test
	void aHeadOfManyFieldsIsRefused() throws IOException, InterruptedException {
		String responses = send(get("/first") + "GET / HTTP/1.1\r\n" + "a:b\r\n".repeat(200) + "\r\n", 2,
				this::respondLater);
		assertThat(responses).startsWith("HTTP/1.1 200").contains("HTTP/1.1 431").contains("connection: close");
	}

	@Test
	void aTrailerOfManyFieldsIsRefused() throws IOException, InterruptedException {
		String responses = send(
				"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + "a:b\r\n".repeat(200) + "\r\n", 1,
				this::respondLater);
		assertThat(responses).startsWith("HTTP/1.1 431");
		assertThat(this.handled).isEmpty();
	}

	@Test
	void aChunkedBodyWithATrailerIsHandled() throws IOException, InterruptedException {
		String responses = send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + "1\r\nx\r\n".repeat(1000)
				+ "0\r\na: b\r\n\r\n" + get("/second"), 2, this::respondLater);
		assertThat(responses).startsWith("HTTP/1.1 200").contains("/second");
		assertThat(this.handled).containsExactly("/", "/second");
	}

	@Test
	void aChunkedBodyThatGrowsBeyondTheLimitIsRefused() throws IOException, InterruptedException {
		String chunk = "2710\r\n" + "x".repeat(10_000) + "\r\n";
		String responses = send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk.repeat(21), 1,
				this::respondLater);
		assertThat(responses).startsWith("HTTP/1.1 413").contains("connection: close");
	}

	@Test
	void aLengthThatIsNotANumberIsRefused() throws IOException, InterruptedException {
		String responses = send("POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n", 1,
				this::respondLater);
		assertThat(responses).startsWith("HTTP/1.1 400");
	}

	// Guards against memory that grows with responses that nobody reads.
	@Test
	void requestsOfAClientThatDoesNotReadItsResponsesWait() throws IOException, InterruptedException {
		InetSocketAddress address = freeAddress();
		AtomicInteger answered = new AtomicInteger();
		this.server = new HttpServer((request, responder) -> {
			answered.incrementAndGet();
			responder.accept(new HttpHandler.Response(OK, new byte[100_000], 0));
		}, MAX_BODY_BYTES);
		this.server.listen(this.group, address);
		try (Socket socket = new Socket()) {
			socket.setReceiveBufferSize(10_000);
			socket.connect(address, TIMEOUT_MILLIS);
			socket.getOutputStream().write(get("/").repeat(1000).getBytes(StandardCharsets.US_ASCII));
			Thread.sleep(5 * PAUSE_MILLIS);
			assertThat(answered).hasValueLessThan(200);
			socket.setSoTimeout(TIMEOUT_MILLIS);
			assertThat(socket.getInputStream().readNBytes(100_000_000)).hasSize(100_000_000);
		}
	}

	// Guards against memory that grows with the heads of requests that wait.
	@Test
	void headsOfWaitingRequestsCountAsMemory() throws IOException, InterruptedException {
		InetSocketAddress address = freeAddress();
		this.server = new HttpServer((request, responder) -> {
		}, MAX_BODY_BYTES);
		this.server.listen(this.group, address);
		String request = "GET / HTTP/1.1\r\nX: " + "x".repeat(15_000) + "\r\n\r\n";
		try (Socket socket = new Socket()) {
			socket.connect(address, TIMEOUT_MILLIS);
			Thread writer = new Thread(() -> {
				try {
					for (int i = 0; i < MANY; i++) {
						socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
					}
				}
				catch (IOException ex) {
					// Closed at the end of the test.
				}
			});
			writer.start();
			Thread.sleep(1000);
			int read = this.group.submit(() -> this.server.inFlight().count()).syncUninterruptibly().getNow();
			assertThat(read).isLessThan(20);
		}
	}

	private void respondLater(String uri, Runnable responder) {
		this.group.schedule(responder, 50, TimeUnit.MILLISECONDS);
	}

	private String send(String bytes, int responses, Answering answering) throws IOException, InterruptedException {
		InetSocketAddress address = freeAddress();
		this.server = new HttpServer((request, responder) -> {
			this.handled.add(request.uri());
			answering.answer(request.uri(), () -> respond(request.uri(), responder));
		}, MAX_BODY_BYTES);
		this.server.listen(this.group, address);
		try (Socket socket = new Socket()) {
			socket.setSoTimeout(TIMEOUT_MILLIS);
			socket.connect(address, TIMEOUT_MILLIS);
			socket.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
			if (this.halfCloses) {
				socket.shutdownOutput();
			}
			return read(new BufferedInputStream(socket.getInputStream()), responses);
		}
	}

	private static void respond(String uri, Consumer<HttpHandler.Response> responder) {
		responder.accept(new HttpHandler.Response(OK, (uri + ";").getBytes(StandardCharsets.US_ASCII), 0));
	}

	private static String read(InputStream input, int responses) throws IOException {
		StringBuilder received = new StringBuilder();
		for (int i = 0; i < responses; i++) {
			int from = received.length();
			while (received.indexOf(END_OF_HEAD, from) < 0) {
				receive(input, received);
			}
			boolean hasBody = received.indexOf("content-type", from) >= 0;
			while (hasBody && received.charAt(received.length() - 1) != ';') {
				receive(input, received);
			}
		}
		return received.toString();
	}

	private static void receive(InputStream input, StringBuilder received) throws IOException {
		int next = input.read();
		if (next < 0) {
			throw new IOException("closed after: " + received);
		}
		received.append((char) next);
	}

	private static String get(String uri) {
		return "GET " + uri + " HTTP/1.1\r\nHost: localhost\r\n\r\n";
	}

	private static InetSocketAddress freeAddress() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
		}
	}

	/**
	 * When the handler of a test answers.
	 */
	@FunctionalInterface
	private interface Answering {

		void answer(String uri, Runnable responder);

	}

}
