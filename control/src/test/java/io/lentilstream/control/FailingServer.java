package io.lentilstream.control;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

import io.netty.channel.nio.NioEventLoopGroup;

import io.lentilstream.control.http.HttpCall;
import io.lentilstream.control.http.HttpConnectionPool;
import io.lentilstream.control.http.HttpServer;

/**
 * The main class of a process with a server that a request can end.
 */
public final class FailingServer {

	private static final long ENDLESS_MILLIS = 100_000;

	private static final long CALL_TIMEOUT_MILLIS = 1000;

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
			if (request.path().equals("/refused")) {
				callRefused(group);
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

	private static void callRefused(NioEventLoopGroup group) {
		InetSocketAddress closed = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
		new HttpConnectionPool(new NettyEventLoop(group), group, closed, 1).call(HttpCall.get("/", CALL_TIMEOUT_MILLIS),
				(result) -> {
					throw new IllegalStateException(result.toString());
				});
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
