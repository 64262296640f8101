package io.lentilstream.control.store;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.lentilstream.control.EventLoop;
import io.lentilstream.jobs.DecisionLog;

/**
 * Follows all items below a prefix: reads them once, then waits for changes, and reads
 * them again when the history is gone. A watch waits only briefly, so that a connection
 * that has gone silent is noticed in time.
 */
public final class PrefixWatcher {

	private static final long RETRY_DELAY_MILLIS = 200;

	private final EventLoop loop;

	private final MetadataStore store;

	private final DecisionLog log;

	private final String prefix;

	private final WatchTiming timing;

	private final Listener listener;

	private Set<String> knownKeys = new HashSet<>();

	private long revision;

	private boolean stopped;

	private boolean failing;

	private long lastReplyAt = Long.MIN_VALUE / 2;

	private long stableSince = Long.MAX_VALUE;

	/**
	 * Creates a follower that has not started.
	 * @param loop the event loop
	 * @param store the store
	 * @param log takes a line for each lost or regained watch
	 * @param prefix the prefix
	 * @param timing how often to ask
	 * @param listener gets the items
	 */
	public PrefixWatcher(EventLoop loop, MetadataStore store, DecisionLog log, String prefix, WatchTiming timing,
			Listener listener) {
		this.loop = loop;
		this.store = store;
		this.log = log;
		this.prefix = prefix;
		this.timing = timing;
		this.listener = listener;
	}

	/**
	 * Starts by reading all items.
	 */
	public void start() {
		RangeReader.readAll(this.store, this.prefix, this::rangeRead);
	}

	/**
	 * Starts after a revision of which all items are known.
	 * @param keys the keys of the items at that revision
	 * @param afterRevision the revision
	 */
	public void startAfter(Set<String> keys, long afterRevision) {
		this.knownKeys = keys;
		this.revision = afterRevision;
		watch();
	}

	/**
	 * Stops.
	 */
	public void stop() {
		this.stopped = true;
	}

	/**
	 * Returns when the store last answered.
	 * @return the time in milliseconds
	 */
	public long lastReplyAt() {
		return this.lastReplyAt;
	}

	/**
	 * Returns since when the store has answered all calls.
	 * @return the time in milliseconds; in the future if it does not answer
	 */
	public long stableSince() {
		return this.stableSince;
	}

	private void rangeRead(StoreReply<MetadataStore.Page> reply) {
		if (this.stopped) {
			return;
		}
		if (!(reply instanceof StoreReply.Ok<MetadataStore.Page> page)) {
			markUnreachable("read", reply);
			this.loop.schedule(RETRY_DELAY_MILLIS, this::start);
			return;
		}
		markReachable();
		this.revision = page.value().asOfRevision();
		Set<String> present = new HashSet<>();
		for (StoredItem item : page.value().items()) {
			present.add(item.key());
		}
		this.knownKeys.removeAll(present);
		Set<String> missing = this.knownKeys;
		this.knownKeys = present;
		for (String key : missing) {
			this.listener.itemChanged(new StoredItem(key, null, this.revision, 0));
		}
		deliver(page.value().items());
		watch();
	}

	private void watch() {
		if (this.stopped) {
			return;
		}
		// After a failure the answer comes at once, to learn that the store is back.
		this.store.watch(this.prefix, this.revision, this.failing ? 0 : this.timing.waitMillis(), this::watched);
	}

	private void watched(StoreReply<MetadataStore.Page> reply) {
		if (this.stopped) {
			return;
		}
		if (reply instanceof StoreReply.Gone<MetadataStore.Page>) {
			this.log.append("watch-history-gone", this.prefix, "revision", this.revision);
			start();
			return;
		}
		if (!(reply instanceof StoreReply.Ok<MetadataStore.Page> page)) {
			markUnreachable("watch", reply);
			this.loop.schedule(RETRY_DELAY_MILLIS, this::watch);
			return;
		}
		markReachable();
		this.revision = Math.max(this.revision, page.value().asOfRevision());
		for (StoredItem item : page.value().items()) {
			if (item.exists()) {
				this.knownKeys.add(item.key());
			}
			else {
				this.knownKeys.remove(item.key());
			}
		}
		deliver(page.value().items());
		this.loop.schedule(page.value().items().isEmpty() ? 0 : this.timing.pauseMillis(), this::watch);
	}

	private void deliver(List<StoredItem> items) {
		items.forEach(this.listener::itemChanged);
		this.listener.batchDelivered();
	}

	private void markReachable() {
		this.lastReplyAt = this.loop.now();
		this.stableSince = Math.min(this.stableSince, this.lastReplyAt);
		if (this.failing) {
			this.failing = false;
			this.log.append("store-regained", this.prefix, "revision", this.revision);
		}
	}

	private void markUnreachable(String call, StoreReply<MetadataStore.Page> reply) {
		this.stableSince = Long.MAX_VALUE;
		if (!this.failing) {
			this.failing = true;
			this.log.append("store-lost", this.prefix, "call", call, "reply", reply);
		}
	}

	/**
	 * Says how often to ask for changes.
	 *
	 * @param waitMillis how long a watch waits, in milliseconds
	 * @param pauseMillis pause after a watch that returned changes, in milliseconds
	 */
	public record WatchTiming(long waitMillis, long pauseMillis) {
	}

	/**
	 * Gets items as they are and as they change.
	 */
	public interface Listener {

		/**
		 * Takes in an item that was read, written or deleted.
		 * @param item the item
		 */
		void itemChanged(StoredItem item);

		/**
		 * Notes that a batch of items has ended.
		 */
		default void batchDelivered() {
		}

	}

}
