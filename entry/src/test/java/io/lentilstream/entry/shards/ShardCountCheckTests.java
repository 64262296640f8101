package io.lentilstream.entry.shards;

import java.util.Optional;

import org.junit.jupiter.api.Test;

import io.lentilstream.entry.fakes.FakeStore;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against two entry VMs that divide a scope into different numbers of shards.
 */
class ShardCountCheckTests {

	private final FakeStore store = new FakeStore();

	private final ShardCountCheck check = new ShardCountCheck(this.store);

	@Test
	void recordsTheFirstCountAndRejectsAnother() {
		assertThat(this.check.recordOrCompare("z", 8).join()).contains(true);
		assertThat(this.check.recordOrCompare("z", 8).join()).contains(true);
		assertThat(this.check.recordOrCompare("z", 16).join()).contains(false);
	}

	@Test
	void returnsNoResultIfTheStoreIsDownOrItsReplyIsLost() {
		this.store.setDown(true);
		assertThat(this.check.recordOrCompare("z", 8).join()).isEqualTo(Optional.empty());
		this.store.setDown(false);
		this.store.loseReplies(1);
		assertThat(this.check.recordOrCompare("z", 8).join()).isEqualTo(Optional.empty());
		assertThat(this.check.recordOrCompare("z", 8).join()).contains(true);
	}

}
