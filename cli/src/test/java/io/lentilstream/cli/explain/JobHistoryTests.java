package io.lentilstream.cli.explain;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class JobHistoryTests {

	private final JobHistory history = new JobHistory("j1");

	@Test
	void linesAreInCausalOrderWhenClocksDiffer() {
		add("{\"time\":900,\"node\":\"b\",\"decision\":\"job-ended\",\"subject\":\"j1\",\"state\":\"FAILED\"}");
		add("{\"time\":100,\"node\":\"b\",\"decision\":\"task-ended\",\"subject\":\"j1.0.0.0\",\"run\":2}");
		add("{\"time\":990,\"node\":\"b\",\"decision\":\"start-ordered\",\"subject\":\"j1.0.0.0\",\"run\":2}");
		add("{\"time\":800,\"node\":\"b\",\"decision\":\"task-ended\",\"subject\":\"j1.0.0.0\",\"run\":1}");
		add("{\"time\":950,\"node\":\"a\",\"decision\":\"job-submitted\",\"subject\":\"j1\"}");
		add("{\"time\":1,\"node\":\"a\",\"decision\":\"job-submitted\",\"subject\":\"j12\"}");
		assertThat(this.history.inCausalOrder()).extracting(DecisionLine::decision)
			.containsExactly("job-submitted", "task-ended", "start-ordered", "task-ended", "job-ended");
		assertThat(this.history.decidingLine().orElseThrow().format()).contains("state=FAILED");
	}

	@Test
	void unparsableLinesAreSkipped() {
		add("no json");
		add("{\"time\":1,\"node\":\"a\",\"decision\":\"job-sub");
		add("{\"decision\":5,\"subject\":\"j1\"}");
		assertThat(this.history.decidingLine()).isEmpty();
	}

	private void add(String text) {
		DecisionLine.parse(text, 0).ifPresent(this.history::add);
	}

}
