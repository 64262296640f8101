package io.lentilstream.requests;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against timers that fire out of order, after cancellation or not at all.
 */
class TimerQueueTests {

	@Test
	void firesTheRemainingTimersInOrderAfterCancellations() {
		SplittableRandom random = new SplittableRandom(3);
		TimerQueue timers = new TimerQueue();
		List<Long> fired = new ArrayList<>();
		List<Long> expected = new ArrayList<>();
		List<TimerQueue.Timer> cancelled = new ArrayList<>();
		for (int i = 0; i < 2_000; i++) {
			long at = random.nextLong(1_000);
			TimerQueue.Timer timer = timers.schedule(at, () -> fired.add(at));
			if (random.nextInt(2) == 0) {
				cancelled.add(timer);
			}
			else {
				expected.add(at);
			}
		}
		cancelled.forEach(timers::cancel);
		cancelled.forEach(timers::cancel);
		assertThat(timers.pollDue(-1)).isNull();
		for (Runnable task = timers.pollDue(1_000); task != null; task = timers.pollDue(1_000)) {
			task.run();
		}
		assertThat(fired).isEqualTo(expected.stream().sorted().toList());
		assertThat(timers.size()).isZero();
	}

}
