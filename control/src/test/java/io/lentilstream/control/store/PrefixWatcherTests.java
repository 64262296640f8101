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

	private final PrefixWatcher watcher = watcher(this.store, PrefixWatcher.CatchUp.CHANGES);

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

	// Guards against a machine on a slow link that stays with an old configuration after
	// an
	// outage, since it reads all versions that it has missed.
	@Test
	void afterAnOutageOnlyTheCurrentItemsAreReadIfOnlyTheyMatter() {
		PrefixWatcher current = watcher(this.store, PrefixWatcher.CatchUp.CURRENT_ITEMS);
		this.store.put("a/1", new byte[1]);
		current.start();
		this.loop.runFor(100);
		this.store.mode = MemoryStore.Mode.SILENT;
		this.loop.runFor(2000);
		for (int i = 0; i < 10; i++) {
			this.store.put("a/1", new byte[1]);
		}
		this.store.mode = MemoryStore.Mode.WORKS;
		this.loop.runFor(2000);
		assertThat(this.events).containsExactly("a/1", "a/1");
		this.store.put("a/1", new byte[1]);
		this.loop.runFor(100);
		assertThat(this.events).hasSize(3);
	}

	// Guards against versions that delay each other because all of them are read.
	@Test
	void itemsThatChangeFasterThanTheyAreReadAreReadAgain() {
		DisturbedStore counting = new DisturbedStore(this.loop, this.store, 5);
		PrefixWatcher current = watcher(counting, PrefixWatcher.CatchUp.CURRENT_ITEMS);
		current.start();
		this.loop.runFor(100);
		int before = counting.reads.size();
		this.store.put("a/1", new byte[1]);
		this.loop.runFor(100);
		assertThat(counting.reads).hasSize(before);
		this.store.commit(new Commit().write("a/2", new byte[1], 0).write("a/2", new byte[1], 0), (reply) -> {
		});
		this.loop.runFor(100);
		assertThat(counting.reads).hasSize(before + 1);
		this.store.put("a/3", new byte[1]);
		this.loop.runFor(100);
		assertThat(this.events).endsWith("a/3");
	}

	private PrefixWatcher watcher(MetadataStore watched, PrefixWatcher.CatchUp catchUp) {
		return new PrefixWatcher(this.loop, watched, (decision, subject, inputs) -> {
		}, "a/", new PrefixWatcher.WatchOptions(1000, 0, catchUp),
				(item) -> this.events.add(item.key() + (item.exists() ? "" : " deleted")));
	}

}
