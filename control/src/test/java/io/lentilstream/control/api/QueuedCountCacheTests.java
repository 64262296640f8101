package io.lentilstream.control.api;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class QueuedCountCacheTests {

	private final QueuedCountCache counts = new QueuedCountCache();

	@Test
	void aFreshCountIsServed() {
		this.counts.put("q", 4, 1000);
		assertThat(this.counts.find("q", 1900)).contains(4);
		assertThat(this.counts.find("other", 1900)).isEmpty();
	}

	@Test
	void aCountOfTwoSecondsAgoIsNotServed() {
		this.counts.put("q", 0, 1000);
		assertThat(this.counts.find("q", 3000)).isEmpty();
	}

	@Test
	void aNewCountReplacesThePreviousOne() {
		this.counts.put("q", 4, 1000);
		this.counts.put("q", 0, 2000);
		assertThat(this.counts.find("q", 2600)).contains(0);
	}

}
