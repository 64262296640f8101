package io.lentilstream.benchmarks.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;

import io.lentilstream.clients.ListOutcome;
import io.lentilstream.clients.StoreKey;
import io.lentilstream.clients.StoredValue;
import io.lentilstream.clients.WatchOutcome;
import io.lentilstream.membership.MembershipAction.ListStore;
import io.lentilstream.membership.MembershipAction.WatchStore;

/**
 * Is the store of the benchmark. It counts its calls, a waiting watch as one.
 */
final class VirtualStore {

	private static final int MIN_DELAY_MICROS = 1_000;

	private static final int DELAY_SPREAD_MICROS = 4_000;

	private final VirtualTime time;

	private final Random random;

	private final Map<StoreKey, StoredValue> values = new TreeMap<>();

	private final List<StoredValue> events = new ArrayList<>();

	private final List<Waiting> waiting = new ArrayList<>();

	private boolean down;

	private long watches;

	private long lists;

	private long valueBytes;

	VirtualStore(VirtualTime time, Random random) {
		this.time = time;
		this.random = random;
	}

	long watches() {
		return this.watches;
	}

	long lists() {
		return this.lists;
	}

	long valueBytes() {
		return this.valueBytes;
	}

	void put(StoreKey key, byte[] bytes) {
		StoredValue value = new StoredValue(key, bytes, this.events.size() + 1);
		this.values.put(key, value);
		this.events.add(value);
		for (Waiting watch : List.copyOf(this.waiting)) {
			if (key.path().startsWith(watch.call().prefix().path())) {
				answer(watch);
			}
		}
	}

	void setDown(boolean isDown) {
		this.down = isDown;
		if (isDown) {
			List.copyOf(this.waiting).forEach(this::answer);
		}
	}

	void list(ListStore call, Consumer<ListOutcome> reply) {
		this.lists++;
		this.time.after(delay(), () -> {
			if (this.down) {
				reply.accept(new ListOutcome.Unavailable("down"));
				return;
			}
			List<StoredValue> found = new ArrayList<>();
			for (StoredValue value : this.values.values()) {
				if (value.key().path().startsWith(call.prefix().path())) {
					found.add(value);
					this.valueBytes += value.value().length;
				}
			}
			ListOutcome listed = new ListOutcome.Listed(found, this.events.size());
			this.time.after(delay(), () -> reply.accept(listed));
		});
	}

	void watch(WatchStore call, Consumer<WatchOutcome> reply) {
		this.watches++;
		this.time.after(delay(), () -> {
			Waiting watch = new Waiting(call, reply);
			this.waiting.add(watch);
			if (this.down || !changes(call).isEmpty()) {
				answer(watch);
			}
			else {
				this.time.after(call.maxWait().toMillis() * 1_000, () -> answer(watch));
			}
		});
	}

	private void answer(Waiting watch) {
		if (!this.waiting.removeIf((other) -> other == watch)) {
			return;
		}
		List<StoredValue> changed = changes(watch.call());
		changed.forEach((value) -> this.valueBytes += value.value().length);
		WatchOutcome outcome = this.down ? new WatchOutcome.Unavailable("down")
				: new WatchOutcome.Changes(changed, List.of(), this.events.size());
		this.time.after(delay(), () -> watch.reply().accept(outcome));
	}

	private List<StoredValue> changes(WatchStore call) {
		Map<StoreKey, StoredValue> latest = new TreeMap<>();
		for (StoredValue value : this.events.subList((int) call.afterRevision(), this.events.size())) {
			if (value.key().path().startsWith(call.prefix().path())) {
				latest.put(value.key(), value);
			}
		}
		return List.copyOf(latest.values());
	}

	private long delay() {
		return MIN_DELAY_MICROS + this.random.nextInt(DELAY_SPREAD_MICROS);
	}

	private record Waiting(WatchStore call, Consumer<WatchOutcome> reply) {
	}

}
