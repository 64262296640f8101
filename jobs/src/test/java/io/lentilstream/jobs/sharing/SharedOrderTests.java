package io.lentilstream.jobs.sharing;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link SharedOrder}.
 */
class SharedOrderTests {

	private final List<ShareCandidate<String>> waiting = new ArrayList<>();

	@Test
	void queueThatUsesLessComesFirst() {
		add("big", "a", false, false);
		add("big", "b", false, false);
		add("small", "c", false, false);
		assertThat(order(Map.of("big", new ShareUse(5000, 0)))).containsExactly("c", "a", "b");
	}

	@Test
	void queuesThatUseEquallyMuchAlternate() {
		for (String task : List.of("a", "b", "c")) {
			add("first", task, false, false);
		}
		add("second", "x", false, false);
		assertThat(order(Map.of()).subList(0, 2)).containsExactlyInAnyOrder("a", "x");
		assertThat(order(Map.of()).subList(2, 4)).containsExactly("b", "c");
	}

	@Test
	void tasksOfStartedJobsComeBeforeThoseOfOthers() {
		add("q", "new", false, false);
		add("q", "begun", true, false);
		assertThat(order(Map.of("q", new ShareUse(8000, 1000)))).containsExactly("begun", "new");
	}

	@Test
	void lateJobsGetAnEighthWhileOthersWait() {
		for (int i = 0; i < 40; i++) {
			add("q", "late" + i, false, true);
			add("q", "new" + i, false, false);
		}
		List<String> started = order(Map.of()).subList(0, 40);
		assertThat(started.stream().filter((task) -> task.startsWith("late"))).hasSize(5);
	}

	@Test
	void lateJobsGetAllThatOthersLeave() {
		add("q", "late", false, true);
		assertThat(order(Map.of("q", new ShareUse(8000, 8000)))).containsExactly("late");
	}

	private void add(String queue, String task, boolean started, boolean late) {
		this.waiting.add(new ShareCandidate<>(task, queue, 1000, started, late, this.waiting.size()));
	}

	private List<String> order(Map<String, ShareUse> use) {
		return SharedOrder.order(this.waiting, use);
	}

}
