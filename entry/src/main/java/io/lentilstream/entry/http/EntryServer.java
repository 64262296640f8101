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
 * Listens for callers and operators with Jooby on Netty. Handlers run on the event loops
 * and must not block.
 */
public final class EntryServer implements AutoCloseable {

	private static final int IO_THREADS = 2;

	private final Jooby app = new Jooby();

	private final NettyServer server = new NettyServer();

	private final ServerOptions options = new ServerOptions();

	/**
	 * Creates a server that does not listen yet.
	 * @param settings the settings of the daemon
	 */
	public EntryServer(EntrySettings settings) {
		this.options.setHost(settings.httpAddress().host());
		this.options.setPort(settings.httpAddress().port());
		this.options.setIoThreads(IO_THREADS);
		this.options.setDefaultHeaders(false);
		this.options.setMaxRequestSize(settings.limits().requestBodyBytes());
		// Bodies stay in memory: with a smaller buffer the server writes them to a disk,
		// which entry VMs do not have.
		this.options.setBufferSize(settings.limits().requestBodyBytes());
		this.app.setExecutionMode(ExecutionMode.EVENT_LOOP);
		this.app.setStartupSummary(java.util.List.of());
		this.app.error(EntryServer::sendError);
		this.app.before(EntryServer::refuseForm);
	}

	/**
	 * Adds routes.
	 * @param routes adds the routes to the application
	 */
	public void install(Consumer<Jooby> routes) {
		routes.accept(this.app);
	}

	/**
	 * Starts to listen.
	 * @throws UncheckedIOException if the port is in use
	 */
	public void start() {
		requireFree(this.options.getHost(), this.options.getPort());
		this.server.setOptions(this.options);
		this.server.start(this.app);
	}

	// Jooby binds with SO_REUSEPORT, so a second daemon on a port in use would start and
	// take part of the connections.
	private static void requireFree(String host, int port) {
		try (ServerSocket probe = new ServerSocket()) {
			probe.bind(new InetSocketAddress(host, port));
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot listen on " + host + ":" + port, ex);
		}
	}

	// The server decodes forms itself and does not keep their bytes, so passing them on
	// would lose the body.
	private static void refuseForm(Context context) {
		String type = context.header("Content-Type").value("").toLowerCase(Locale.ROOT);
		if (type.startsWith("application/x-www-form-urlencoded") || type.startsWith("multipart/form-data")) {
			HttpAnswers.send(context,
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
		HttpAnswers.send(context, problem);
	}

	@Override
	public void close() {
		this.server.stop();
	}

}
