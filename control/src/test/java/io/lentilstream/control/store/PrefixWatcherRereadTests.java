package io.lentilstream.control.store;

import java.util.HashSet;
import java.util.Set;

import org.junit.jupiter.api.Test;

import io.lentilstream.control.ManualEventLoop;

import static org.assertj.core.api.Assertions.assertThat;

class PrefixWatcherRereadTests {

	private static final int ITEMS = 20;

	private final ManualEventLoop loop = new ManualEventLoop();

	private final MemoryStore memory = new MemoryStore(this.loop);

	private final DisturbedStore store = new DisturbedStore(this.loop, this.memory, 5);

	private final Set<String> seen = new HashSet<>();

	private final PrefixWatcher watcher = new PrefixWatcher(this.loop, this.store, (decision, subject, inputs) -> {
	}, "a/", new PrefixWatcher.WatchOptions(1000, 0, PrefixWatcher.CatchUp.CHANGES),
			(item) -> this.seen.add(item.key()));

	@Test
	void aChangeIsDeliveredAfterLostHistoryAlthoughEveryThirdReadGetsNoReply() {
		for (int i = 0; i < ITEMS; i++) {
			this.memory.put("a/%02d".formatted(i), new byte[1]);
		}
		this.watcher.start();
		this.loop.runFor(100);
		assertThat(this.seen).hasSize(ITEMS);
		this.memory.mode = MemoryStore.Mode.SILENT;
		this.loop.runFor(1500);
		this.memory.mode = MemoryStore.Mode.WORKS;
		this.memory.put("a/new", new byte[1]);
		this.memory.compact();
		this.store.unanswered = (read) -> this.store.reads.size() % 3 == 0;
		this.loop.runFor(10_000);
		assertThat(this.seen).contains("a/new");
	}

}
