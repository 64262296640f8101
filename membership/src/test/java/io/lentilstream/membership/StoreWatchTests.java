package io.lentilstream.membership;

import java.util.Optional;
import java.util.Random;

import org.junit.jupiter.api.Test;

import io.lentilstream.model.MonotonicTime;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a change that is in force too late because the answer of the watch that
 * carried it was lost.
 */
class StoreWatchTests {

	private static final long IN_FORCE_MILLIS = 3_000;

	private final StoreWatch watch = new StoreWatch(SettingsReplica.TEAMS, MembershipTiming.defaults(), new Random(7));

	private Optional<MembershipAction> tick(long millis) {
		return this.watch.tick(MonotonicTime.ofMillis(millis), true, true, true);
	}

	@Test
	void watchesAgainInTimeAfterAWatchWithoutAnyAnswer() {
		MembershipAction.ListStore list = (MembershipAction.ListStore) tick(0).orElseThrow();
		this.watch.ended(list.call());
		this.watch.listed(MonotonicTime.ofMillis(0), 5);
		MembershipAction.WatchStore lost = (MembershipAction.WatchStore) tick(0).orElseThrow();
		long again = 1;
		while (again < 60_000 && tick(again).isEmpty()) {
			again += 50;
		}
		assertThat(again).isLessThan(IN_FORCE_MILLIS);
		assertThat(lost.afterRevision()).isEqualTo(5);
	}

}
