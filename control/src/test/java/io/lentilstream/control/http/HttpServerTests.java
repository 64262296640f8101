package io.lentilstream.control.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;

import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class HttpServerTests {

	private static final int TIMEOUT_MILLIS = 5000;

	private static final int OK = 200;

	private static final int WAITING_REQUESTS = 60;

	private static final long MAX_STACK_FRAMES = 200;

	private final NioEventLoopGroup group = new NioEventLoopGroup(1);

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

	// Guards against a stack overflow, which ends the process, after a request that is
	// answered late while many others wait behind it.
	@Test
	void theStackDoesNotGrowWithTheRequestsThatWaitOnAConnection() throws IOException, InterruptedException {
		List<Long> depths = Collections.synchronizedList(new ArrayList<>());
		send(get("/late") + get("/next").repeat(WAITING_REQUESTS), WAITING_REQUESTS + 1, (uri, responder) -> {
			depths.add(StackWalker.getInstance().walk(Stream::count));
			if (uri.equals("/late")) {
				respondLater(uri, responder);
			}
			else {
				responder.run();
			}
		});
		assertThat(Collections.max(depths)).isLessThan(MAX_STACK_FRAMES);
	}

	private void respondLater(String uri, Runnable responder) {
		this.group.schedule(responder, 50, TimeUnit.MILLISECONDS);
	}

	private String send(String bytes, int responses, Answering answering) throws IOException, InterruptedException {
		InetSocketAddress address = freeAddress();
		new HttpServer((request, responder) -> {
			this.handled.add(request.uri());
			answering.answer(request.uri(), () -> respond(request.uri(), responder));
		}, 1000).listen(this.group, address);
		try (Socket socket = new Socket()) {
			socket.setSoTimeout(TIMEOUT_MILLIS);
			socket.connect(address, TIMEOUT_MILLIS);
			socket.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
			return read(socket.getInputStream(), responses);
		}
	}

	private static void respond(String uri, Consumer<HttpHandler.Response> responder) {
		responder.accept(new HttpHandler.Response(OK, (uri + ";").getBytes(StandardCharsets.US_ASCII), 0));
	}

	private static String read(InputStream input, int responses) throws IOException {
		StringBuilder received = new StringBuilder();
		while (received.chars().filter((character) -> character == ';').count() < responses) {
			int next = input.read();
			if (next < 0) {
				throw new IOException("closed after: " + received);
			}
			received.append((char) next);
		}
		return received.toString();
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
