package io.lentilstream.control;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A process of its own that a broken invariant ends.
 */
class FatalErrorsTests {

	private static final int TIMEOUT_MILLIS = 10_000;

	private Process process;

	private BufferedReader output;

	private int port;

	@BeforeEach
	void start() throws IOException {
		this.process = new ProcessBuilder(ProcessHandle.current().info().command().orElse("java"), "-cp",
				System.getProperty("java.class.path"), FailingServer.class.getName())
			.start();
		this.output = this.process.inputReader();
		this.port = Integer.parseInt(this.output.readLine());
	}

	@AfterEach
	void stop() {
		this.process.destroyForcibly();
	}

	// Guards against requests that are cut by a process that ends by itself.
	@Test
	void requestsInFlightAreAnsweredBeforeABrokenInvariantEndsTheProcess() throws IOException, InterruptedException {
		try (Socket first = connect(); Socket second = connect()) {
			send(first, "/held");
			assertThat(this.output.readLine()).isEqualTo("/held");
			send(second, "/fatal");
			assertThat(firstLine(first)).isEqualTo("HTTP/1.1 503 Service Unavailable");
			assertThat(firstLine(second)).isEqualTo("HTTP/1.1 503 Service Unavailable");
		}
		assertThat(this.process.waitFor(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
		assertThat(this.process.exitValue()).isEqualTo(FatalErrors.EXIT_STATUS);
	}

	@Test
	void aProcessEndsAlthoughItsLastActionDoesNotReturn() throws IOException, InterruptedException {
		try (Socket socket = connect()) {
			send(socket, "/endless");
			assertThat(this.process.waitFor(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
		}
		assertThat(this.process.exitValue()).isEqualTo(FatalErrors.EXIT_STATUS);
	}

	// A trace that nobody reads takes all the time that is left before the exit.
	@Test
	void requestsInFlightAreAnsweredAlthoughTheTraceIsNotRead() throws IOException, InterruptedException {
		try (Socket socket = connect()) {
			send(socket, "/long-trace");
			assertThat(firstLine(socket)).isEqualTo("HTTP/1.1 503 Service Unavailable");
		}
		assertThat(this.process.waitFor(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
		assertThat(this.process.exitValue()).isEqualTo(FatalErrors.EXIT_STATUS);
	}

	// Netty logs what the listener of a future throws, and goes on.
	@Test
	void aBrokenInvariantWhenAConnectionIsRefusedEndsTheProcess() throws IOException, InterruptedException {
		try (Socket socket = connect()) {
			send(socket, "/refused");
			assertThat(firstLine(socket)).isEqualTo("HTTP/1.1 503 Service Unavailable");
		}
		assertThat(this.process.waitFor(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
		assertThat(this.process.exitValue()).isEqualTo(FatalErrors.EXIT_STATUS);
	}

	private Socket connect() throws IOException {
		Socket socket = new Socket(InetAddress.getLoopbackAddress(), this.port);
		socket.setSoTimeout(TIMEOUT_MILLIS);
		return socket;
	}

	private static void send(Socket socket, String path) throws IOException {
		socket.getOutputStream()
			.write(("GET " + path + " HTTP/1.1\r\nHost: localhost\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
	}

	private static String firstLine(Socket socket) throws IOException {
		return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII)).readLine();
	}

}
