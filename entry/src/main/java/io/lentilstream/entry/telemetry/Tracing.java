package io.lentilstream.entry.telemetry;

import java.util.Map;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapGetter;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.SpanProcessor;

/**
 * Tracing of requests, with a span for each hop and propagation of the W3C trace context.
 */
public final class Tracing implements AutoCloseable {

	/**
	 * Header that carries the trace context.
	 */
	public static final String TRACEPARENT = "traceparent";

	private static final TextMapGetter<String> TRACEPARENT_GETTER = new TraceparentGetter();

	private final SdkTracerProvider provider;

	private final Tracer tracer;

	/**
	 * Creates the tracer of one daemon.
	 * @param processors the processors of finished spans; without any, spans are dropped
	 */
	public Tracing(SpanProcessor... processors) {
		var builder = SdkTracerProvider.builder();
		for (SpanProcessor processor : processors) {
			builder.addSpanProcessor(processor);
		}
		this.provider = builder.build();
		this.tracer = this.provider.get("lentilstream");
	}

	/**
	 * Starts the span of one hop.
	 * @param name the name of the hop
	 * @param kind whether the span is of the client or the server
	 * @param traceparent the trace context of the previous hop; empty starts a new trace
	 * @return the span, which the caller must end
	 */
	public Span startSpan(String name, SpanKind kind, String traceparent) {
		Context parent = W3CTraceContextPropagator.getInstance()
			.extract(Context.root(), traceparent, TRACEPARENT_GETTER);
		return this.tracer.spanBuilder(name).setSpanKind(kind).setParent(parent).startSpan();
	}

	/**
	 * Returns the trace context to pass to the next hop.
	 * @param span the span of this hop
	 * @return the value of the header {@value #TRACEPARENT}
	 */
	public static String traceparent(Span span) {
		String[] header = { "" };
		W3CTraceContextPropagator.getInstance()
			.inject(Context.root().with(span), header,
					(carrier, key, value) -> carrier[0] = valueIfTraceparent(carrier[0], key, value));
		return header[0];
	}

	private static String valueIfTraceparent(String current, String key, String value) {
		return key.equals(TRACEPARENT) ? value : current;
	}

	@Override
	public void close() {
		this.provider.close();
	}

	private static final class TraceparentGetter implements TextMapGetter<String> {

		@Override
		public Iterable<String> keys(String carrier) {
			return Map.of(TRACEPARENT, carrier).keySet();
		}

		@Override
		public String get(String carrier, String key) {
			return key.equals(TRACEPARENT) ? carrier : null;
		}

	}

}
