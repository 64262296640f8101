package io.lentilstream.control.store;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.lentilstream.control.EventLoop;

/**
 * An in-memory store that can be made to lose, refuse or delay calls and replies.
 */
public final class MemoryStore implements MetadataStore {

	private static final long REPLY_DELAY_MILLIS = 4;

	private static final long TIMEOUT_MILLIS = 700;

	private final EventLoop loop;

	private final TreeMap<String, StoredItem> items = new TreeMap<>();

	private final Map<String, Long> leaseByKey = new HashMap<>();

	private final Map<Long, Long> leases = new HashMap<>();

	private final List<StoredItem> history = new ArrayList<>();

	private long revision = 1;

	private long nextLease = 100;

	private long compactedRevision;

	/** How calls are handled from now on. */
	public Mode mode = Mode.WORKS;

	/** Number of commits received. */
	public int commits;

	/**
	 * Creates an empty store.
	 * @param loop the event loop
	 */
	public MemoryStore(EventLoop loop) {
		this.loop = loop;
	}

	/**
	 * Returns the bytes of an item.
	 * @param key the key
	 * @return the bytes, or {@code null} if the item does not exist
	 */
	public byte[] value(String key) {
		expireLeases();
		StoredItem item = this.items.get(key);
		return (item != null) ? item.value() : null;
	}

	/**
	 * Writes an item, as another client of the store would.
	 * @param key the key
	 * @param value the bytes
	 */
	public void put(String key, byte[] value) {
		write(key, value, ++this.revision);
	}

	/**
	 * Extends all leases, as if their clocks had stopped during an outage.
	 * @param millis the extension in milliseconds
	 */
	public void extendLeases(long millis) {
		this.leases.replaceAll((lease, end) -> end + millis);
	}

	/** Deletes the history of changes. */
	public void compact() {
		this.history.clear();
		this.compactedRevision = this.revision;
	}

	@Override
	public void read(String key, Consumer<StoreReply<StoredItem>> reply) {
		respond(reply, () -> {
			StoredItem item = this.items.get(key);
			return new StoreReply.Ok<>((item != null) ? item : new StoredItem(key, null, 0, 0));
		});
	}

	@Override
	public void range(String prefix, String after, Consumer<StoreReply<Page>> reply) {
		respond(reply, () -> {
			List<StoredItem> found = this.items.values()
				.stream()
				.filter((item) -> item.key().startsWith(prefix) && item.key().compareTo(after) > 0)
				.toList();
			return new StoreReply.Ok<>(new Page(found, false, this.revision));
		});
	}

	@Override
	public void watch(String prefix, long afterRevision, long waitMillis, Consumer<StoreReply<Page>> reply) {
		if (this.mode != Mode.WORKS) {
			respond(reply, () -> new StoreReply.Ok<>(new Page(List.of(), false, this.revision)));
			return;
		}
		if (afterRevision < this.compactedRevision) {
			respond(reply, StoreReply.Gone::new);
			return;
		}
		List<StoredItem> changes = this.history.stream()
			.filter((item) -> item.revision() > afterRevision && item.key().startsWith(prefix))
			.toList();
		if (changes.isEmpty() && waitMillis > REPLY_DELAY_MILLIS) {
			this.loop.schedule(REPLY_DELAY_MILLIS,
					() -> watch(prefix, afterRevision, waitMillis - REPLY_DELAY_MILLIS, reply));
			return;
		}
		respond(reply, () -> new StoreReply.Ok<>(new Page(changes, false, this.revision)));
	}

	@Override
	public void commit(Commit commit, Consumer<StoreReply<Long>> reply) {
		this.commits++;
		respond(reply, () -> apply(commit));
	}

	private StoreReply<Long> apply(Commit commit) {
		expireLeases();
		boolean holds = true;
		List<StoredItem> present = new ArrayList<>();
		for (Commit.Condition condition : commit.conditions()) {
			StoredItem item = this.items.getOrDefault(condition.key(), new StoredItem(condition.key(), null, 0, 0));
			present.add(item);
			holds &= item.revision() == condition.revision();
		}
		if (!holds) {
			return new StoreReply.Conflict<>(present);
		}
		this.revision++;
		for (Commit.Write write : commit.writes()) {
			write(write.key(), write.value(), this.revision);
			if (write.lease() != 0) {
				this.leaseByKey.put(write.key(), write.lease());
			}
		}
		commit.deletes().forEach(this::delete);
		return new StoreReply.Ok<>(this.revision);
	}

	private void write(String key, byte[] value, long at) {
		StoredItem previous = this.items.get(key);
		StoredItem item = new StoredItem(key, value, at, (previous != null) ? previous.createdRevision() : at);
		this.items.put(key, item);
		this.history.add(item);
	}

	private void delete(String key) {
		if (this.items.remove(key) != null) {
			this.history.add(new StoredItem(key, null, this.revision, 0));
		}
	}

	@Override
	public void grantLease(long ttlMillis, Consumer<StoreReply<Long>> reply) {
		respond(reply, () -> {
			long lease = this.nextLease++;
			this.leases.put(lease, this.loop.now() + ttlMillis);
			return new StoreReply.Ok<>(lease);
		});
	}

	@Override
	public void renewLease(long lease, Consumer<StoreReply<Long>> reply) {
		respond(reply, () -> {
			expireLeases();
			if (!this.leases.containsKey(lease)) {
				return new StoreReply.Gone<>();
			}
			this.leases.put(lease, this.loop.now() + 2000);
			return new StoreReply.Ok<>(2000L);
		});
	}

	@Override
	public void revokeLease(long lease, Consumer<StoreReply<Long>> reply) {
		respond(reply, () -> {
			this.leases.put(lease, 0L);
			expireLeases();
			return new StoreReply.Ok<>(lease);
		});
	}

	private void expireLeases() {
		this.leases.values().removeIf((end) -> end <= this.loop.now());
		List<String> expired = this.leaseByKey.entrySet()
			.stream()
			.filter((entry) -> !this.leases.containsKey(entry.getValue()))
			.map(Map.Entry::getKey)
			.toList();
		for (String key : expired) {
			this.leaseByKey.remove(key);
			this.revision++;
			delete(key);
		}
	}

	private <T> void respond(Consumer<StoreReply<T>> reply, Supplier<StoreReply<T>> work) {
		switch (this.mode) {
			case WORKS -> this.loop.schedule(REPLY_DELAY_MILLIS, () -> {
				expireLeases();
				reply.accept(work.get());
			});
			case REFUSES -> this.loop.schedule(1, () -> reply.accept(new StoreReply.NotDone<>("status 503")));
			case SILENT -> this.loop.schedule(TIMEOUT_MILLIS, () -> reply.accept(new StoreReply.Unknown<>("silent")));
			case LOSES_REPLIES -> {
				this.loop.schedule(REPLY_DELAY_MILLIS, work::get);
				this.loop.schedule(TIMEOUT_MILLIS, () -> reply.accept(new StoreReply.Unknown<>("reply lost")));
			}
			case APPLIES_LATE -> {
				this.loop.schedule(3000, work::get);
				this.loop.schedule(TIMEOUT_MILLIS, () -> reply.accept(new StoreReply.Unknown<>("reply lost")));
			}
		}
	}

	/**
	 * How calls are handled.
	 */
	public enum Mode {

		/** Calls succeed. */
		WORKS,

		/** Calls are refused and have no effect. */
		REFUSES,

		/** Calls have no effect and get no reply. */
		SILENT,

		/** Calls take effect but get no reply. */
		LOSES_REPLIES,

		/** Calls take effect seconds later and get no reply. */
		APPLIES_LATE

	}

}
