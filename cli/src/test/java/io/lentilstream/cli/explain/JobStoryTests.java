package io.lentilstream.cli.explain;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class JobStoryTests {

	private final JobStory story = new JobStory("j1");

	@Test
	void linesAreOrderedByCauseAlthoughTheClocksDiffer() {
		add("{\"time\":900,\"node\":\"b\",\"decision\":\"job-ended\",\"subject\":\"j1\",\"state\":\"FAILED\"}");
		add("{\"time\":100,\"node\":\"b\",\"decision\":\"task-ended\",\"subject\":\"j1.0.0.0\",\"run\":2}");
		add("{\"time\":990,\"node\":\"b\",\"decision\":\"start-ordered\",\"subject\":\"j1.0.0.0\",\"run\":2}");
		add("{\"time\":800,\"node\":\"b\",\"decision\":\"task-ended\",\"subject\":\"j1.0.0.0\",\"run\":1}");
		add("{\"time\":950,\"node\":\"a\",\"decision\":\"job-submitted\",\"subject\":\"j1\"}");
		add("{\"time\":1,\"node\":\"a\",\"decision\":\"job-submitted\",\"subject\":\"j12\"}");
		assertThat(this.story.ordered()).extracting(DecisionLine::decision)
			.containsExactly("job-submitted", "task-ended", "start-ordered", "task-ended", "job-ended");
		assertThat(this.story.deciding().orElseThrow().text()).contains("state=FAILED");
	}

	@Test
	void linesOfOthersAndBrokenLinesAreLeftOut() {
		add("no json");
		add("{\"time\":1,\"node\":\"a\",\"decision\":\"job-sub");
		add("{\"decision\":5,\"subject\":\"j1\"}");
		assertThat(this.story.deciding()).isEmpty();
	}

	private void add(String text) {
		DecisionLine.parse(text, 0).ifPresent(this.story::add);
	}

}
