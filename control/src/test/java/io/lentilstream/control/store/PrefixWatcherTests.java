package io.lentilstream.control.store;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import io.lentilstream.control.ManualEventLoop;

import static org.assertj.core.api.Assertions.assertThat;

class PrefixWatcherTests {

	private final ManualEventLoop loop = new ManualEventLoop();

	private final MemoryStore store = new MemoryStore(this.loop);

	private final List<String> events = new ArrayList<>();

	private final PrefixWatcher watcher = new PrefixWatcher(this.loop, this.store, (decision, subject, inputs) -> {
	}, "a/", new PrefixWatcher.WatchTiming(1000, 0),
			(item) -> this.events.add(item.key() + (item.exists() ? "" : " deleted")));

	@Test
	void itemsAndLaterChangesAreDelivered() {
		this.store.put("a/1", new byte[1]);
		this.watcher.start();
		this.loop.runFor(100);
		this.store.put("a/2", new byte[1]);
		this.store.put("b/3", new byte[1]);
		this.loop.runFor(100);
		assertThat(this.events).containsExactly("a/1", "a/2");
	}

	@Test
	void aDeletionMissingFromACompactedHistoryIsDetectedByReadingAgain() {
		this.store.put("a/1", new byte[1]);
		this.store.put("a/2", new byte[1]);
		this.watcher.start();
		this.loop.runFor(100);
		this.store.mode = MemoryStore.Mode.SILENT;
		this.loop.runFor(1500);
		this.store.mode = MemoryStore.Mode.WORKS;
		this.store.commit(new Commit().delete("a/1"), (reply) -> {
		});
		this.loop.runFor(5);
		this.store.compact();
		this.loop.runFor(3000);
		assertThat(this.events).contains("a/1 deleted").doesNotContain("a/2 deleted");
	}

	@Test
	void anOutageEndsWithTheNextReply() {
		this.watcher.start();
		this.loop.runFor(100);
		this.store.mode = MemoryStore.Mode.REFUSES;
		this.loop.runFor(3000);
		this.store.mode = MemoryStore.Mode.WORKS;
		this.loop.runFor(300);
		assertThat(this.loop.now() - this.watcher.lastReplyAt()).isLessThan(300);
	}

	@Test
	void theStoreIsStableOnlySinceItsLastFailure() {
		this.watcher.start();
		this.loop.runFor(100);
		long first = this.watcher.stableSince();
		this.loop.runFor(3000);
		assertThat(this.watcher.stableSince()).isEqualTo(first);
		this.store.mode = MemoryStore.Mode.REFUSES;
		this.loop.runFor(2000);
		assertThat(this.watcher.stableSince()).isGreaterThan(this.loop.now());
		this.store.mode = MemoryStore.Mode.WORKS;
		this.loop.runFor(300);
		assertThat(this.watcher.stableSince()).isBetween(first + 5000, this.loop.now());
	}

}
