package review3;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/** Servers of the stand-ins on loopback, and calls of clients. */
final class Http {

	static final ExecutorService THREADS = Executors.newCachedThreadPool((task) -> {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		return thread;
	});

	private static final int MIN_PORT = 10_000;

	private static final int MAX_PORT = 30_000;

	private static final Random PORTS = new Random();

	private static final Set<Integer> GIVEN = new HashSet<>();

	private Http() {
	}

	record Answer(int status, String body) {

		/** Stands for no answer: the connection ended, or the time ran out. */
		static final Answer NONE = new Answer(0, "");

	}

	record Call(String method, String path, Map<String, String> query, String body, String expectedInstance) {
	}

	/** Answers a call; {@code null} closes the connection without an answer. */
	interface Handler {

		Answer handle(Call call) throws Exception;

	}

	static HttpServer serve(InetSocketAddress address, Handler handler) throws IOException {
		HttpServer server = HttpServer.create(address, 1024);
		server.setExecutor(THREADS);
		server.createContext("/", (exchange) -> answer(exchange, handler));
		server.start();
		return server;
	}

	private static void answer(HttpExchange exchange, Handler handler) throws IOException {
		try {
			String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
			Map<String, String> query = new HashMap<>();
			String raw = exchange.getRequestURI().getRawQuery();
			for (String part : (raw != null) ? raw.split("&") : new String[0]) {
				int equals = part.indexOf('=');
				query.put(part.substring(0, equals),
						URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
			}
			Answer answer = handler.handle(new Call(exchange.getRequestMethod(), exchange.getRequestURI().getPath(),
					query, body, exchange.getRequestHeaders().getFirst("Expected-Instance")));
			if (answer == null) {
				exchange.close();
				return;
			}
			byte[] bytes = answer.body().getBytes(StandardCharsets.UTF_8);
			exchange.getResponseHeaders().set("Content-Type", "application/json");
			exchange.sendResponseHeaders(answer.status(), (bytes.length > 0) ? bytes.length : -1);
			if (bytes.length > 0) {
				exchange.getResponseBody().write(bytes);
			}
			exchange.close();
		}
		catch (Exception ex) {
			exchange.close();
		}
	}

	/**
	 * Returns a free address that no outgoing connection takes, since its port is below the
	 * range from which these are given.
	 */
	static synchronized InetSocketAddress freeAddress() throws IOException {
		for (int attempt = 0; attempt < 1000; attempt++) {
			int port = MIN_PORT + PORTS.nextInt(MAX_PORT - MIN_PORT);
			InetSocketAddress address = new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port);
			try (ServerSocket socket = new ServerSocket()) {
				socket.setReuseAddress(true);
				socket.bind(address);
			}
			catch (IOException ex) {
				continue;
			}
			if (GIVEN.add(port)) {
				return address;
			}
		}
		throw new IOException("no free port");
	}

	/** Makes one call of a client on a connection of its own. */
	static Answer call(InetSocketAddress server, String method, String host, String path, String body, int timeoutMs) {
		try (Socket socket = new Socket()) {
			long deadline = System.nanoTime() + timeoutMs * 1_000_000L;
			socket.connect(server, timeoutMs);
			byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
			String head = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nConnection: close\r\nDeadline-Ms: "
					+ timeoutMs + "\r\n" + ((bytes.length > 0) ? "Content-Type: application/json\r\nContent-Length: "
							+ bytes.length + "\r\n" : "")
					+ "\r\n";
			OutputStream out = socket.getOutputStream();
			out.write(head.getBytes(StandardCharsets.US_ASCII));
			out.write(bytes);
			out.flush();
			java.io.ByteArrayOutputStream received = new java.io.ByteArrayOutputStream();
			byte[] buffer = new byte[4096];
			while (true) {
				long left = (deadline - System.nanoTime()) / 1_000_000;
				if (left <= 0) {
					return Answer.NONE;
				}
				socket.setSoTimeout((int) left);
				int count = socket.getInputStream().read(buffer);
				if (count < 0) {
					break;
				}
				received.write(buffer, 0, count);
				Answer whole = parse(received.toString(StandardCharsets.UTF_8));
				if (whole != null) {
					return whole;
				}
			}
			return Answer.NONE;
		}
		catch (IOException ex) {
			return Answer.NONE;
		}
	}

	private static Answer parse(String text) {
		int end = text.indexOf("\r\n\r\n");
		if (end < 0) {
			return null;
		}
		int length = 0;
		for (String line : text.substring(0, end).split("\r\n")) {
			if (line.toLowerCase().startsWith("content-length:")) {
				length = Integer.parseInt(line.substring(15).trim());
			}
		}
		if (text.length() - end - 4 < length) {
			return null;
		}
		return new Answer(Integer.parseInt(text.substring(9, 12)), text.substring(end + 4, end + 4 + length));
	}

}
