package review2;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * An HTTP/1.1 server on a loopback address with a thread for each request in progress.
 */
final class Server {

	static final String HOST = "127.0.0.1";

	static {
		System.setProperty("sun.net.httpserver.nodelay", "true");
		System.setProperty("sun.net.httpserver.maxIdleConnections", "2000");
		System.setProperty("sun.net.httpserver.idleInterval", "600");
	}

	private static final ExecutorService THREADS = Executors.newCachedThreadPool((task) -> {
		Thread thread = new Thread(task, "server");
		thread.setDaemon(true);
		return thread;
	});

	private final HttpServer server;

	Server(int port, Handler handler) {
		try {
			this.server = HttpServer.create(new InetSocketAddress(HOST, port), 1024);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		this.server.setExecutor(THREADS);
		this.server.createContext("/", (exchange) -> handle(exchange, handler));
		this.server.start();
	}

	private static void handle(HttpExchange exchange, Handler handler) throws IOException {
		String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
		Map<String, String> query = new HashMap<>();
		String raw = exchange.getRequestURI().getRawQuery();
		for (String pair : (raw != null) ? raw.split("&") : new String[0]) {
			int equals = pair.indexOf('=');
			query.put(pair.substring(0, equals),
					URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
		}
		Reply reply;
		try {
			reply = handler.handle(new Request(exchange.getRequestMethod(), exchange.getRequestURI().getPath(), query,
					exchange.getRequestHeaders().getFirst("Expected-Instance"), Json.object(body)));
		}
		catch (RuntimeException ex) {
			ex.printStackTrace();
			reply = new Reply(400, Map.of());
		}
		if (reply == null) {
			// No answer at all.
			exchange.close();
			return;
		}
		byte[] bytes = Json.write(reply.body()).getBytes(StandardCharsets.UTF_8);
		exchange.getResponseHeaders().set("Content-Type", "application/json");
		exchange.sendResponseHeaders(reply.status(), bytes.length);
		exchange.getResponseBody().write(bytes);
		exchange.close();
	}

	int port() {
		return this.server.getAddress().getPort();
	}

	void close() {
		this.server.stop(0);
	}

	interface Handler {

		Reply handle(Request request);

	}

	record Request(String method, String path, Map<String, String> query, String expected, Map<String, Object> body) {

		long number(String field, long missing) {
			return (this.body.get(field) instanceof Number number) ? number.longValue() : missing;
		}

		String text(String field) {
			return (this.body.get(field) instanceof String text) ? text : "";
		}

	}

	record Reply(int status, Map<String, Object> body) {
	}

}
