package io.lentilstream.control.term;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.lentilstream.control.EventLoop;
import io.lentilstream.control.leadership.Leadership;
import io.lentilstream.control.store.Commit;
import io.lentilstream.control.store.MetadataStore;
import io.lentilstream.control.store.RangeReader;
import io.lentilstream.control.store.StoreReply;
import io.lentilstream.control.store.StoredItem;
import io.lentilstream.jobs.DecisionLog;
import io.lentilstream.jobs.carryover.CarriedKnowledge;
import io.lentilstream.jobs.codec.DecodeException;

/**
 * Reads what the predecessor has learned at the start of a term and stores what this
 * leader learns, on condition that it still leads. A term starts without knowledge that
 * is missing or unreadable. Load pattern: hundreds of VMs whose state changes many times
 * a second, and a store whose writes are limited.
 */
final class CarriedKnowledgeStore {

	/** Time between two commits, in milliseconds. */
	static final long INTERVAL_MILLIS = 2000;

	/** Maximum total size of the snapshots in a commit, in bytes. */
	static final int MAX_COMMIT_BYTES = 32_000;

	/** Maximum number of items that a commit writes. */
	private static final int MAX_COMMIT_ITEMS = 4;

	private static final byte[] NOTHING = new byte[0];

	/** The keys under which earlier versions store knowledge, by its name. */
	private static final Map<String, String> EARLIER_KEYS = Map.of("interference", JobKeys.INTERFERENCE);

	private final EventLoop loop;

	private final MetadataStore store;

	private final DecisionLog log;

	private final long fencingToken;

	/** All kinds; those that did not fit into the last commit come first. */
	private final Deque<CarriedKnowledge> kinds;

	private final Map<String, StoredItem> items = new HashMap<>();

	private final Map<String, byte[]> stored = new HashMap<>();

	private long readAt;

	private boolean inFlight;

	private boolean stopped;

	CarriedKnowledgeStore(Term.Dependencies dependencies, long fencingToken, List<CarriedKnowledge> kinds) {
		this.loop = dependencies.loop();
		this.store = dependencies.store();
		this.log = dependencies.log();
		this.fencingToken = fencingToken;
		this.kinds = new ArrayDeque<>(kinds);
	}

	/**
	 * Reads the stored knowledge.
	 * @param completed called when it has been read or cannot be read
	 */
	void read(Runnable completed) {
		RangeReader.readAll(this.store, JobKeys.KNOWLEDGE, (reply) -> {
			this.readAt = this.loop.now();
			if (reply instanceof StoreReply.Ok<MetadataStore.Page> page) {
				page.value().items().forEach((item) -> this.items.put(item.key(), item));
			}
			else {
				this.log.append("knowledge-not-read", JobKeys.KNOWLEDGE, "reply", reply);
			}
			readEarlierKeys(List.copyOf(EARLIER_KEYS.values()), completed);
		});
	}

	private void readEarlierKeys(List<String> keys, Runnable completed) {
		if (keys.isEmpty()) {
			completed.run();
			return;
		}
		this.store.read(keys.get(0), (reply) -> {
			if (reply instanceof StoreReply.Ok<StoredItem> item) {
				this.items.put(keys.get(0), item.value());
			}
			readEarlierKeys(keys.subList(1, keys.size()), completed);
		});
	}

	/**
	 * Restores the knowledge that was read.
	 */
	void restore() {
		for (CarriedKnowledge kind : this.kinds) {
			newest(kind).ifPresent((item) -> restore(kind, item));
		}
		this.items.clear();
	}

	// A leader of an earlier version may have led since this version stored the item.
	private Optional<StoredItem> newest(CarriedKnowledge kind) {
		StoredItem item = existing(JobKeys.knowledge(kind.name()));
		StoredItem earlier = existing(EARLIER_KEYS.getOrDefault(kind.name(), ""));
		if (item != null) {
			this.stored.put(kind.name(), item.value());
		}
		boolean useEarlier = earlier != null && (item == null || earlier.revision() > item.revision());
		return Optional.ofNullable(useEarlier ? earlier : item);
	}

	private StoredItem existing(String key) {
		StoredItem item = this.items.get(key);
		return (item != null && item.exists()) ? item : null;
	}

	private void restore(CarriedKnowledge kind, StoredItem item) {
		try {
			kind.restore(item.value(), this.loop.now() - this.readAt);
			this.log.append("knowledge-restored", kind.name(), "key", item.key(), "bytes", item.value().length);
		}
		catch (DecodeException ex) {
			this.log.append("knowledge-unreadable", item.key(), "error", ex);
		}
	}

	/**
	 * Stores changed snapshots from now on until this is stopped.
	 */
	void storePeriodically() {
		this.loop.schedule(INTERVAL_MILLIS, () -> {
			if (!this.stopped) {
				store();
				storePeriodically();
			}
		});
	}

	void stop() {
		this.stopped = true;
	}

	private void store() {
		if (this.inFlight) {
			return;
		}
		Map<String, byte[]> changes = pollChanges();
		if (changes.isEmpty()) {
			return;
		}
		Commit commit = new Commit().require(Leadership.LEADER_KEY, this.fencingToken);
		changes.forEach((name, bytes) -> {
			if (bytes.length > 0) {
				commit.write(JobKeys.knowledge(name), bytes, 0);
			}
			else {
				commit.delete(JobKeys.knowledge(name));
			}
		});
		this.inFlight = true;
		this.store.commit(commit, (reply) -> {
			this.inFlight = false;
			if (reply instanceof StoreReply.Ok<Long>) {
				this.stored.putAll(changes);
			}
			else {
				// No retry is needed, since the next snapshots replace these.
				this.log.append("knowledge-not-stored", this.fencingToken, "reply", reply);
			}
		});
	}

	private Map<String, byte[]> pollChanges() {
		Map<String, byte[]> changes = new HashMap<>();
		Deque<CarriedKnowledge> postponed = new ArrayDeque<>();
		int bytes = 0;
		for (CarriedKnowledge kind : List.copyOf(this.kinds)) {
			byte[] snapshot = kind.snapshot();
			if (Arrays.equals(snapshot, this.stored.getOrDefault(kind.name(), NOTHING))) {
				continue;
			}
			if (snapshot.length > MAX_COMMIT_BYTES) {
				this.log.append("knowledge-too-large", kind.name(), "bytes", snapshot.length);
				continue;
			}
			this.kinds.remove(kind);
			if (changes.size() < MAX_COMMIT_ITEMS && bytes + snapshot.length <= MAX_COMMIT_BYTES) {
				changes.put(kind.name(), snapshot);
				bytes += snapshot.length;
				this.kinds.addLast(kind);
			}
			else {
				postponed.addFirst(kind);
			}
		}
		postponed.forEach(this.kinds::addFirst);
		return changes;
	}

}
