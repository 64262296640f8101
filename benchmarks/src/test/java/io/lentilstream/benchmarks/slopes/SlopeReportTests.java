package io.lentilstream.benchmarks.slopes;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a report that leaves out what the capacity page needs.
 */
class SlopeReportTests {

	private final SlopeReport report = new SlopeReport(List.of(Slope.of("record-memory", "bytes", "records",
			List.of(new SlopePoint(10, 1_100), new SlopePoint(20, 2_100)))));

	@Test
	void printsAllFieldsAsJson() throws Exception {
		JsonNode slopes = new ObjectMapper().readTree(this.report.toJson());
		assertThat(slopes).hasSize(1);
		JsonNode slope = slopes.get(0);
		assertThat(slope.get("name").textValue()).isEqualTo("record-memory");
		assertThat(slope.get("unit").textValue()).isEqualTo("bytes");
		assertThat(slope.get("size").textValue()).isEqualTo("records");
		assertThat(slope.get("points").get(1).get("size").doubleValue()).isEqualTo(20);
		assertThat(slope.get("points").get(1).get("value").doubleValue()).isEqualTo(2_100);
		assertThat(slope.get("slope").doubleValue()).isEqualTo(100);
		assertThat(slope.get("intercept").doubleValue()).isEqualTo(100);
	}

	@Test
	void printsPointsAndLineAsText() {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		this.report.printText(new PrintStream(bytes, true, StandardCharsets.UTF_8));
		assertThat(bytes.toString(StandardCharsets.UTF_8)).contains("record-memory: bytes by records",
				"10.00 -> 1100, 20.00 -> 2100", "slope      100.0, intercept 100.0");
	}

}
