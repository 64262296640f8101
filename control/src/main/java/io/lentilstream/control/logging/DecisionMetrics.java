package io.lentilstream.control.logging;

import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SlidingTimeWindowArrayReservoir;
import com.codahale.metrics.Snapshot;

import io.lentilstream.jobs.DecisionLog;

/**
 * Counts the decisions before forwarding them to the log, and records a histogram of each
 * input that is a duration. The kinds of decisions bound the number of time series.
 */
public final class DecisionMetrics implements DecisionLog {

	/** Time window of the histograms, in seconds. */
	private static final long WINDOW_SECONDS = 60;

	private static final String TIME_SUFFIX = "-ms";

	private static final double MEDIAN = 0.5;

	private static final double TAIL = 0.99;

	private final MetricRegistry registry = new MetricRegistry();

	private final DecisionLog log;

	/**
	 * Creates metrics without values.
	 * @param log the log to which decisions are forwarded
	 */
	public DecisionMetrics(DecisionLog log) {
		this.log = log;
	}

	@Override
	public void append(String decision, Object subject, Object... inputs) {
		this.registry.counter(decision).inc();
		for (int i = 0; i + 1 < inputs.length; i += 2) {
			String name = String.valueOf(inputs[i]);
			if (name.endsWith(TIME_SUFFIX) && inputs[i + 1] instanceof Number number) {
				this.registry.histogram(decision + "." + name, DecisionMetrics::histogram).update(number.longValue());
			}
		}
		this.log.append(decision, subject, inputs);
	}

	private static Histogram histogram() {
		return new Histogram(new SlidingTimeWindowArrayReservoir(WINDOW_SECONDS, TimeUnit.SECONDS));
	}

	/**
	 * Returns all values as text, one per line, in the exposition format of Prometheus.
	 * @return the text
	 */
	public String text() {
		StringBuilder text = new StringBuilder();
		for (Map.Entry<String, Counter> entry : this.registry.getCounters().entrySet()) {
			line(text, "lentilstream_" + name(entry.getKey()) + "_total", "", entry.getValue().getCount());
		}
		for (Map.Entry<String, Histogram> entry : this.registry.getHistograms().entrySet()) {
			String name = "lentilstream_" + name(entry.getKey());
			Snapshot snapshot = entry.getValue().getSnapshot();
			line(text, name, "{quantile=\"0.5\"}", snapshot.getValue(MEDIAN));
			line(text, name, "{quantile=\"0.99\"}", snapshot.getValue(TAIL));
			line(text, name + "_count", "", entry.getValue().getCount());
		}
		return text.toString();
	}

	private static void line(StringBuilder text, String name, String labels, double value) {
		text.append(name).append(labels).append(' ').append(value).append('\n');
	}

	private static String name(String key) {
		return key.replace('-', '_').replace('.', '_');
	}

}
