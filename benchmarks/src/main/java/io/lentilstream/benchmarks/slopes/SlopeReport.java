package io.lentilstream.benchmarks.slopes;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Prints slopes as text or JSON.
 */
public final class SlopeReport {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final List<Slope> slopes;

	/**
	 * Creates a report.
	 * @param slopes the slopes
	 */
	public SlopeReport(List<Slope> slopes) {
		this.slopes = List.copyOf(slopes);
	}

	/**
	 * Prints each slope with its points and its line.
	 * @param out where the text goes
	 */
	public void printText(PrintStream out) {
		for (Slope slope : this.slopes) {
			out.println(slope.name() + ": " + slope.unit() + " by " + slope.sizeName());
			out.println("  measured   " + slope.points()
				.stream()
				.map((point) -> number(point.size()) + " -> " + number(point.value()))
				.collect(Collectors.joining(", ")));
			out.println(
					"  slope      " + number(slope.fit().slope()) + ", intercept " + number(slope.fit().intercept()));
		}
	}

	/**
	 * Returns the slopes as a JSON array.
	 * @return the JSON text
	 */
	public String toJson() {
		ArrayNode array = MAPPER.createArrayNode();
		for (Slope slope : this.slopes) {
			ObjectNode node = array.addObject();
			node.put("name", slope.name()).put("unit", slope.unit()).put("size", slope.sizeName());
			ArrayNode points = node.putArray("points");
			slope.points().forEach((point) -> points.addObject().put("size", point.size()).put("value", point.value()));
			node.put("slope", slope.fit().slope()).put("intercept", slope.fit().intercept());
		}
		try {
			return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(array);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("slopes cannot be written as JSON", ex);
		}
	}

	private static String number(double value) {
		String format = (Math.abs(value) >= 1_000) ? "%.0f" : "%.4g";
		return String.format(Locale.ROOT, format, value);
	}

}
