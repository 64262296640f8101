package io.lentilstream.entry.telemetry;

import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;

import io.lentilstream.model.RequestOutcome;
import io.lentilstream.model.Urgency;
import io.lentilstream.requests.ServiceKey;

/**
 * The metrics of an entry daemon.
 */
public final class EntryMetrics {

	private static final double NANOS_PER_MILLI = 1_000_000;

	private final MetricRegistry registry = new MetricRegistry();

	/**
	 * Counts a request by outcome and records its duration in this daemon.
	 * @param service the team and service
	 * @param urgency the urgency
	 * @param outcome the outcome that the caller received
	 * @param elapsed the time from arrival to the outcome
	 */
	public void recordRequest(ServiceKey service, Urgency urgency, RequestOutcome outcome, Duration elapsed) {
		String prefix = "requests." + service.team() + "." + service.service() + "."
				+ urgency.name().toLowerCase(Locale.ROOT);
		this.registry.timer(prefix + ".time").update(elapsed.toNanos(), TimeUnit.NANOSECONDS);
		this.registry.counter(prefix + "." + outcomeName(outcome)).inc();
	}

	/**
	 * Adds to a counter.
	 * @param name the name of the counter
	 * @param amount the amount to add
	 */
	public void count(String name, long amount) {
		this.registry.counter(name).inc(amount);
	}

	/**
	 * Registers a gauge.
	 * @param name the name of the gauge
	 * @param value returns the current value
	 */
	public void registerGauge(String name, LongSupplier value) {
		this.registry.gauge(name, () -> (Gauge<Long>) value::getAsLong);
	}

	/**
	 * Returns all metrics by name. A timer yields its count and quantiles; the quantiles
	 * are in milliseconds.
	 * @return the values by name
	 */
	public Map<String, Number> values() {
		Map<String, Number> values = new TreeMap<>();
		this.registry.getGauges().forEach((name, gauge) -> values.put(name, (Number) gauge.getValue()));
		this.registry.getCounters().forEach((name, counter) -> values.put(name, counter.getCount()));
		this.registry.getTimers().forEach((name, timer) -> {
			Snapshot snapshot = timer.getSnapshot();
			values.put(name + ".count", timer.getCount());
			values.put(name + ".p50-ms", snapshot.getMedian() / NANOS_PER_MILLI);
			values.put(name + ".p99-ms", snapshot.get99thPercentile() / NANOS_PER_MILLI);
			values.put(name + ".p999-ms", snapshot.get999thPercentile() / NANOS_PER_MILLI);
		});
		return values;
	}

	private static String outcomeName(RequestOutcome outcome) {
		if (outcome instanceof RequestOutcome.Answered) {
			return "answered";
		}
		if (outcome instanceof RequestOutcome.Accepted) {
			return "accepted";
		}
		if (outcome instanceof RequestOutcome.NotRun notRun) {
			return "not-run." + notRun.reason().name().toLowerCase(Locale.ROOT).replace('_', '-');
		}
		return "unknown";
	}

}
