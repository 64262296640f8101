package io.lentilstream.entry.http;

import java.util.Locale;
import java.util.Map;
import java.util.function.BooleanSupplier;

import io.jooby.Context;
import io.jooby.Jooby;

import io.lentilstream.entry.telemetry.EntryMetrics;

/**
 * HTTP routes for health, readiness and metrics.
 */
public final class OperationsRoutes {

	private final BooleanSupplier ready;

	private final EntryMetrics metrics;

	/**
	 * Creates the routes.
	 * @param ready returns whether the load balancer may route requests to this VM
	 * @param metrics the metrics to show
	 */
	public OperationsRoutes(BooleanSupplier ready, EntryMetrics metrics) {
		this.ready = ready;
		this.metrics = metrics;
	}

	/**
	 * Adds the routes to the application.
	 * @param app the application
	 */
	public void install(Jooby app) {
		app.get("/health", (context) -> HttpResponses.sendJson(context, 200, Map.of("status", "up")));
		app.get("/ready", this::ready);
		app.get("/metrics", this::metrics);
	}

	private Object ready(Context context) {
		boolean isReady = this.ready.getAsBoolean();
		return HttpResponses.sendJson(context, isReady ? 200 : 503, Map.of("ready", isReady));
	}

	private Object metrics(Context context) {
		if (context.header("Accept").value("").contains(HttpResponses.JSON)) {
			return HttpResponses.sendJson(context, 200, this.metrics.values());
		}
		StringBuilder text = new StringBuilder();
		this.metrics.values()
			.forEach((name, value) -> text.append(name)
				.append(' ')
				.append((value instanceof Double) ? String.format(Locale.ROOT, "%.3f", value) : value)
				.append('\n'));
		return HttpResponses.send(context, 200, "text/plain",
				text.toString().getBytes(java.nio.charset.StandardCharsets.UTF_8));
	}

}
