package io.lentilstream.entry.http;

import java.util.concurrent.CompletableFuture;

import io.jooby.Context;
import io.jooby.Jooby;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;

import io.lentilstream.entry.requests.RequestContent;
import io.lentilstream.entry.requests.RequestDriver;
import io.lentilstream.entry.requests.RequestIds;
import io.lentilstream.entry.requests.ServiceDirectory;
import io.lentilstream.entry.telemetry.EntryMetrics;
import io.lentilstream.entry.telemetry.Tracing;
import io.lentilstream.model.Identifiers;
import io.lentilstream.model.MonotonicClock;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.RequestOutcome;
import io.lentilstream.model.ServiceName;
import io.lentilstream.model.TeamId;
import io.lentilstream.requests.IncomingRequest;
import io.lentilstream.requests.ServiceKey;

/**
 * HTTP routes under {@code /services/{team}/{service}}, for requests whose callers wait
 * for the answer.
 */
public final class ServiceRoutes {

	private final RequestDriver driver;

	private final ServiceDirectory services;

	private final RequestIds ids;

	private final Tracing tracing;

	private final EntryMetrics metrics;

	private final MonotonicClock clock;

	/**
	 * Creates the routes.
	 * @param driver schedules and sends the requests
	 * @param services the services of the settings in force
	 * @param ids generates request ids
	 * @param tracing starts spans
	 * @param metrics counts outcomes
	 * @param clock the monotonic clock
	 */
	public ServiceRoutes(RequestDriver driver, ServiceDirectory services, RequestIds ids, Tracing tracing,
			EntryMetrics metrics, MonotonicClock clock) {
		this.driver = driver;
		this.services = services;
		this.ids = ids;
		this.tracing = tracing;
		this.metrics = metrics;
		this.clock = clock;
	}

	/**
	 * Adds the routes to the application.
	 * @param app the application
	 */
	public void install(Jooby app) {
		app.get("/services/{team}/{service}", this::serve);
		app.post("/services/{team}/{service}", this::serve);
		app.get("/services/{team}/{service}/*", this::serve);
		app.post("/services/{team}/{service}/*", this::serve);
	}

	private Object serve(Context context) {
		MonotonicTime arrival = this.clock.now();
		String team = context.path("team").value();
		String name = context.path("service").value();
		if (!Identifiers.isValid(team) || !Identifiers.isValid(name)) {
			return HttpResponses.send(context,
					ProblemDetails.notFound(HttpMessages.UNKNOWN_SERVICE.formatted(team, name)));
		}
		ServiceKey key = new ServiceKey(new TeamId(team), new ServiceName(name));
		ServiceDirectory.Entry service = this.services.find(key).orElse(null);
		if (service == null) {
			return HttpResponses.send(context,
					ProblemDetails.notFound(HttpMessages.UNKNOWN_SERVICE.formatted(team, name)));
		}
		try {
			return run(context, key, service, arrival);
		}
		catch (BadRequestException ex) {
			return HttpResponses.send(context, ProblemDetails.badRequest(ex.getMessage()));
		}
	}

	private Object run(Context context, ServiceKey key, ServiceDirectory.Entry service, MonotonicTime arrival)
			throws BadRequestException {
		long timeout = CallerHeaders.timeoutMillis(context, service.defaultTimeoutMillis());
		IncomingRequest request = new IncomingRequest(this.ids.next(), key,
				CallerHeaders.urgency(context, service.policy().urgency()), arrival.plusMillis(timeout),
				service.policy().repeatable(), false, 0);
		Span span = this.tracing.startSpan("entry.request", SpanKind.SERVER,
				context.header(Tracing.TRACEPARENT).value(""));
		span.setAttribute("request.id", request.id().value());
		span.setAttribute("service", key.toString());
		RequestContent content = new RequestContent(context.getMethod(), pathOf(context),
				CallerHeaders.forwardedHeaders(context, Tracing.traceparent(span)), context.body().bytes(),
				CallerHeaders.idempotencyKey(context));
		CompletableFuture<RequestOutcome> outcome = this.driver.submit(request, content);
		outcome.thenAccept((requestOutcome) -> {
			this.metrics.recordRequest(key, request.urgency(), requestOutcome, arrival.until(this.clock.now()));
			span.setAttribute("outcome", requestOutcome.getClass().getSimpleName());
			span.end();
			context.setResponseHeader("Lentilstream-Request-Id", request.id().value());
			HttpResponses.send(context, requestOutcome);
		});
		context.onComplete((completed) -> this.driver.cancel(request.id()));
		return context;
	}

	private static String pathOf(Context context) {
		String rest = context.pathMap().getOrDefault("*", "");
		String query = context.queryString();
		return "/" + rest + ((query != null) ? query : "");
	}

}
