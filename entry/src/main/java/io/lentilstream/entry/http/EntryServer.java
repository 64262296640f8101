package io.lentilstream.entry.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.Locale;
import java.util.function.Consumer;

import io.jooby.Context;
import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.ServerOptions;
import io.jooby.StatusCode;
import io.jooby.netty.NettyServer;

import io.lentilstream.settings.process.EntrySettings;

/**
 * The HTTP server for callers and operators, based on Jooby and Netty. Handlers run on
 * the event loops and must not block.
 */
public final class EntryServer implements AutoCloseable {

	private static final int IO_THREADS = 2;

	private final Jooby app = new Jooby();

	private final NettyServer server = new NettyServer();

	private final ServerOptions options = new ServerOptions();

	/**
	 * Creates a server. It does not listen until {@link #start} is called.
	 * @param settings the process settings
	 */
	public EntryServer(EntrySettings settings) {
		this.options.setHost(settings.httpAddress().host());
		this.options.setPort(settings.httpAddress().port());
		this.options.setIoThreads(IO_THREADS);
		this.options.setDefaultHeaders(false);
		this.options.setMaxRequestSize(settings.limits().requestBodyBytes());
		// The buffer holds the largest body, because the server writes larger bodies to
		// disk, and entry VMs have no disk.
		this.options.setBufferSize(settings.limits().requestBodyBytes());
		this.app.setExecutionMode(ExecutionMode.EVENT_LOOP);
		this.app.setStartupSummary(java.util.List.of());
		this.app.error(EntryServer::sendError);
		this.app.before(EntryServer::rejectForm);
	}

	/**
	 * Adds routes.
	 * @param routes adds the routes to the application
	 */
	public void install(Consumer<Jooby> routes) {
		routes.accept(this.app);
	}

	/**
	 * Starts listening.
	 * @throws UncheckedIOException if the port is in use
	 */
	public void start() {
		requireFreePort(this.options.getHost(), this.options.getPort());
		this.server.setOptions(this.options);
		this.server.start(this.app);
	}

	// Jooby binds with SO_REUSEPORT, so a second daemon would start on a port in use and
	// receive part of the connections.
	private static void requireFreePort(String host, int port) {
		try (ServerSocket probe = new ServerSocket()) {
			probe.bind(new InetSocketAddress(host, port));
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot listen on " + host + ":" + port, ex);
		}
	}

	// The server decodes forms and discards their bytes, so a form cannot be forwarded.
	private static void rejectForm(Context context) {
		String type = context.header("Content-Type").value("").toLowerCase(Locale.ROOT);
		if (type.startsWith("application/x-www-form-urlencoded") || type.startsWith("multipart/form-data")) {
			HttpResponses.send(context,
					ProblemDetails.simple("unsupported-media-type", 415, "Forms are not passed on", HttpMessages.FORM));
		}
	}

	private static void sendError(Context context, Throwable cause, StatusCode code) {
		int status = code.value();
		ProblemDetails problem = switch (status) {
			case 404, 405 -> ProblemDetails.simple("not-found", status, "Not found", HttpMessages.NO_ROUTE);
			case 413 ->
				ProblemDetails.simple("too-large", status, "The request is too large", HttpMessages.BODY_TOO_LARGE);
			default -> ProblemDetails.simple((status < 500) ? "bad-request" : "internal", status,
					(status < 500) ? "The request is not valid" : "Internal error", HttpMessages.INTERNAL);
		};
		HttpResponses.send(context, problem);
	}

	@Override
	public void close() {
		this.server.stop();
	}

}
