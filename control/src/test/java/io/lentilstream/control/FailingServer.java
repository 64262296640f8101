package io.lentilstream.control;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

import io.netty.channel.nio.NioEventLoopGroup;

import io.lentilstream.control.http.HttpServer;

/**
 * The main class of a process with a server that a request can end.
 */
public final class FailingServer {

	private static final long ENDLESS_MILLIS = 100_000;

	private static final int LONG_TRACE_CHARACTERS = 1_000_000;

	private FailingServer() {
	}

	/**
	 * Starts the server and prints its port.
	 * @param arguments not used
	 * @throws Exception if it cannot listen
	 */
	public static void main(String[] arguments) throws Exception {
		NioEventLoopGroup group = new NioEventLoopGroup(1);
		HttpServer server = new HttpServer((request, responder) -> {
			System.out.println(request.path());
			if (request.path().equals("/held")) {
				return;
			}
			if (request.path().equals("/endless")) {
				FatalErrors.beforeHalt((cause) -> sleep());
			}
			throw new IllegalStateException(
					request.path().equals("/long-trace") ? "x".repeat(LONG_TRACE_CHARACTERS) : request.path());
		}, 1000);
		FatalErrors.beforeHalt((cause) -> server.answerUnfinished());
		int port = freePort();
		server.listen(group, new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
		System.out.println(port);
	}

	private static int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			return socket.getLocalPort();
		}
	}

	private static void sleep() {
		try {
			Thread.sleep(ENDLESS_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
