package io.lentilstream.standin;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;

import io.jooby.Context;
import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.ServerOptions;
import io.jooby.StartupSummary;
import io.jooby.netty.NettyServer;

/**
 * Serves one handler over HTTP on loopback. Handlers run on the I/O threads and must not
 * block.
 */
final class StandinServer {

	private static final List<String> METHODS = List.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS");

	private static final int MAXIMUM_REQUEST_BYTES = 16_000_000;

	private static final int IO_THREADS = 4;

	/**
	 * Jooby chooses a free port before it binds to it, so another process can take it in
	 * between.
	 */
	private static final int BIND_ATTEMPTS = 10;

	private final RequestHandler handler;

	private NettyServer server;

	private int port;

	StandinServer(RequestHandler handler) {
		this.handler = handler;
	}

	void start(String host, int requestedPort) {
		if (requestedPort != 0) {
			requireFree(host, requestedPort);
		}
		for (int attempt = 1;; attempt++) {
			ServerOptions options = new ServerOptions().setPort(requestedPort)
				.setIoThreads(IO_THREADS)
				.setWorkerThreads(1)
				.setMaxRequestSize(MAXIMUM_REQUEST_BYTES)
				.setDefaultHeaders(false);
			options.setHost(host);
			try {
				this.server = new NettyServer().setOptions(options);
				this.server.start(application());
				this.port = options.getPort();
				return;
			}
			catch (RuntimeException ex) {
				if (requestedPort != 0 || attempt == BIND_ATTEMPTS) {
					throw ex;
				}
			}
		}
	}

	// Jooby binds with SO_REUSEPORT, so a second process on a port in use would start and
	// take part of the connections.
	private static void requireFree(String host, int port) {
		try (ServerSocket probe = new ServerSocket()) {
			probe.bind(new InetSocketAddress(host, port));
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot listen on " + host + ":" + port, ex);
		}
	}

	private Jooby application() {
		Jooby application = new Jooby();
		application.setExecutionMode(ExecutionMode.EVENT_LOOP);
		application.setStartupSummary(List.of(StartupSummary.NONE));
		for (String method : METHODS) {
			application.route(method, "/*", this::handle).setReturnType(Context.class).setNonBlocking(true);
		}
		return application;
	}

	private Context handle(Context context) {
		StandinRequest request = new StandinRequest(context.getMethod(), context.getRequestPath(),
				(name) -> context.query(name).valueOrNull(), (name) -> context.header(name).valueOrNull(),
				context.body().bytes());
		this.handler.handle(request, (reply) -> ReplyWriter.write(context, reply));
		return context;
	}

	int port() {
		return this.port;
	}

	void stop() {
		this.server.stop();
	}

}
