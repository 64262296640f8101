package io.lentilstream.membership;

import java.util.Optional;
import java.util.Random;

import org.junit.jupiter.api.Test;

import io.lentilstream.model.MonotonicTime;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a change that comes into force too late because a watch reply was lost.
 */
class StoreWatchTests {

	private static final long MAX_IN_FORCE_DELAY_MILLIS = 3_000;

	private final StoreWatch watch = new StoreWatch(SettingsReplica.TEAMS, MembershipTiming.defaults(), new Random(7));

	private Optional<MembershipAction> startDueCall(long millis) {
		return this.watch.startDueCall(MonotonicTime.ofMillis(millis), true, true, true);
	}

	@Test
	void startsTheNextWatchInTimeWhenAReplyIsLost() {
		MembershipAction.ListStore list = (MembershipAction.ListStore) startDueCall(0).orElseThrow();
		this.watch.endCall(list.callId());
		this.watch.listSucceeded(MonotonicTime.ofMillis(0), 5);
		MembershipAction.WatchStore lost = (MembershipAction.WatchStore) startDueCall(0).orElseThrow();
		long nextWatchMillis = 1;
		while (nextWatchMillis < 60_000 && startDueCall(nextWatchMillis).isEmpty()) {
			nextWatchMillis += 50;
		}
		assertThat(nextWatchMillis).isLessThan(MAX_IN_FORCE_DELAY_MILLIS);
		assertThat(lost.afterRevision()).isEqualTo(5);
	}

}
