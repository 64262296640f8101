package io.lentilstream.control.api;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RecentCountsTests {

	private final RecentCounts counts = new RecentCounts();

	@Test
	void aCountIsPassedOnWhileItIsFresh() {
		this.counts.keep("q", 4, 1000);
		assertThat(this.counts.freshAt("q", 1900)).contains(4);
		assertThat(this.counts.freshAt("other", 1900)).isEmpty();
	}

	@Test
	void aCountOfTwoSecondsAgoIsNotPassedOn() {
		this.counts.keep("q", 0, 1000);
		assertThat(this.counts.freshAt("q", 3000)).isEmpty();
	}

	@Test
	void aNewCountReplacesTheFormerOne() {
		this.counts.keep("q", 4, 1000);
		this.counts.keep("q", 0, 2000);
		assertThat(this.counts.freshAt("q", 2600)).contains(0);
	}

}
