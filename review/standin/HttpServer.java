import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** An HTTP/1.1 server on a loopback port, with one thread for each connection. */
final class HttpServer {

	/** A request; names of headers are in lower case. */
	record Request(String method, String path, Map<String, String> query, Map<String, String> headers, String body) {
	}

	/** A response. */
	record Reply(int status, String body) {

		/** Closes the connection without an answer. */
		static final Reply RESET = new Reply(-1, "");

		/** Never answers; the connection stays open. */
		static final Reply SILENT = new Reply(-2, "");

		static Reply of(int status, Object body) {
			return new Reply(status, (body != null) ? Json.write(body) : "");
		}

	}

	/** Answers requests. */
	interface Handler {

		Reply handle(Request request) throws InterruptedException;

	}

	private final Handler handler;

	private final int port;

	private volatile ServerSocket socket;

	private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

	HttpServer(Handler handler) throws IOException {
		this(handler, 0);
	}

	HttpServer(Handler handler, int wantedPort) throws IOException {
		this.handler = handler;
		this.socket = open(wantedPort);
		this.port = this.socket.getLocalPort();
		accept(this.socket);
	}

	private static ServerSocket open(int port) throws IOException {
		ServerSocket opened = new ServerSocket();
		opened.setReuseAddress(true);
		opened.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 512);
		return opened;
	}

	int port() {
		return this.port;
	}

	/** Closes the port and resets all connections, as a crashed process does. */
	void close() throws IOException {
		this.socket.close();
		for (Socket connection : this.connections) {
			reset(connection);
		}
	}

	/** Opens the port again. */
	void reopen() throws IOException {
		this.socket = open(this.port);
		accept(this.socket);
	}

	private static void reset(Socket connection) {
		try {
			connection.setSoLinger(true, 0);
			connection.close();
		}
		catch (IOException ex) {
			// It is closed already.
		}
	}

	private void accept(ServerSocket from) {
		Thread thread = new Thread(() -> {
			while (!from.isClosed()) {
				try {
					Socket connection = from.accept();
					connection.setTcpNoDelay(true);
					this.connections.add(connection);
					Thread worker = new Thread(null, () -> serve(connection), "http", 256 * 1024);
					worker.setDaemon(true);
					worker.start();
				}
				catch (IOException ex) {
					// The port was closed.
				}
			}
		}, "accept");
		thread.setDaemon(true);
		thread.start();
	}

	private void serve(Socket connection) {
		try (connection) {
			InputStream in = new BufferedInputStream(connection.getInputStream(), 16384);
			OutputStream out = connection.getOutputStream();
			while (true) {
				Request request = read(in);
				if (request == null) {
					return;
				}
				Reply reply = this.handler.handle(request);
				if (reply.status() == Reply.RESET.status()) {
					reset(connection);
					return;
				}
				if (reply.status() == Reply.SILENT.status()) {
					while (in.read() >= 0) {
						// Reads on and never answers.
					}
					return;
				}
				byte[] body = reply.body().getBytes(StandardCharsets.UTF_8);
				String head = "HTTP/1.1 " + reply.status() + " -\r\nContent-Length: " + body.length
						+ ((body.length > 0) ? "\r\nContent-Type: application/json" : "") + "\r\n\r\n";
				ByteArrayOutputStream whole = new ByteArrayOutputStream();
				whole.write(head.getBytes(StandardCharsets.ISO_8859_1));
				whole.write(body);
				out.write(whole.toByteArray());
				out.flush();
			}
		}
		catch (IOException | InterruptedException ex) {
			// The peer or this server closed the connection.
		}
		finally {
			this.connections.remove(connection);
		}
	}

	private static Request read(InputStream in) throws IOException {
		String line = line(in);
		if (line == null) {
			return null;
		}
		String[] parts = line.split(" ");
		Map<String, String> headers = new TreeMap<>();
		for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
			int colon = header.indexOf(':');
			headers.put(header.substring(0, colon).toLowerCase(java.util.Locale.ROOT),
					header.substring(colon + 1).trim());
		}
		byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
		String uri = parts[1];
		int mark = uri.indexOf('?');
		Map<String, String> query = new TreeMap<>();
		if (mark >= 0) {
			for (String pair : uri.substring(mark + 1).split("&")) {
				int equals = pair.indexOf('=');
				query.put(pair.substring(0, equals),
						java.net.URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
			}
		}
		return new Request(parts[0], (mark >= 0) ? uri.substring(0, mark) : uri, query, headers,
				new String(body, StandardCharsets.UTF_8));
	}

	private static String line(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		while (true) {
			int c = in.read();
			if (c < 0) {
				return null;
			}
			if (c == '\n') {
				String text = line.toString(StandardCharsets.ISO_8859_1);
				return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
			}
			line.write(c);
		}
	}

}
