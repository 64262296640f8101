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
public final class PrefixFollower {

	private static final long RETRY_MILLIS = 200;

	private final EventLoop loop;

	private final MetadataStore store;

	private final DecisionLog log;

	private final String prefix;

	private final Pace pace;

	private final Listener listener;

	private Set<String> known = new HashSet<>();

	private long revision;

	private boolean stopped;

	private boolean lost;

	private long reachedAt = Long.MIN_VALUE / 2;

	private long steadySince = Long.MAX_VALUE;

	/**
	 * Creates a follower that has not started.
	 * @param loop the event loop
	 * @param store the store
	 * @param log takes a line for each lost or regained watch
	 * @param prefix the prefix
	 * @param pace how often to ask
	 * @param listener gets the items
	 */
	public PrefixFollower(EventLoop loop, MetadataStore store, DecisionLog log, String prefix, Pace pace,
			Listener listener) {
		this.loop = loop;
		this.store = store;
		this.log = log;
		this.prefix = prefix;
		this.pace = pace;
		this.listener = listener;
	}

	/**
	 * Starts by reading all items.
	 */
	public void start() {
		RangeReader.readAll(this.store, this.prefix, this::loaded);
	}

	/**
	 * Starts after a revision of which all items are known.
	 * @param items the keys of the known items
	 * @param from the revision
	 */
	public void startAfter(Set<String> items, long from) {
		this.known = items;
		this.revision = from;
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
	public long reachedAt() {
		return this.reachedAt;
	}

	/**
	 * Returns since when the store has answered all calls.
	 * @return the time in milliseconds; in the future if it does not answer
	 */
	public long steadySince() {
		return this.steadySince;
	}

	private void loaded(StoreReply<MetadataStore.Page> reply) {
		if (this.stopped) {
			return;
		}
		if (!(reply instanceof StoreReply.Ok<MetadataStore.Page> page)) {
			failed("read", reply);
			this.loop.after(RETRY_MILLIS, this::start);
			return;
		}
		reached();
		this.revision = page.value().asOfRevision();
		Set<String> present = new HashSet<>();
		for (StoredItem item : page.value().items()) {
			present.add(item.key());
		}
		this.known.removeAll(present);
		Set<String> missing = this.known;
		this.known = present;
		for (String key : missing) {
			this.listener.changed(new StoredItem(key, null, this.revision, 0));
		}
		deliver(page.value().items());
		watch();
	}

	private void watch() {
		if (this.stopped) {
			return;
		}
		// After a failure the answer comes at once, to learn that the store is back.
		this.store.watch(this.prefix, this.revision, this.lost ? 0 : this.pace.waitMillis(), this::watched);
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
			failed("watch", reply);
			this.loop.after(RETRY_MILLIS, this::watch);
			return;
		}
		reached();
		this.revision = Math.max(this.revision, page.value().asOfRevision());
		for (StoredItem item : page.value().items()) {
			if (item.exists()) {
				this.known.add(item.key());
			}
			else {
				this.known.remove(item.key());
			}
		}
		deliver(page.value().items());
		this.loop.after(page.value().items().isEmpty() ? 0 : this.pace.gapMillis(), this::watch);
	}

	private void deliver(List<StoredItem> items) {
		items.forEach(this.listener::changed);
		this.listener.delivered();
	}

	private void reached() {
		this.reachedAt = this.loop.now();
		this.steadySince = Math.min(this.steadySince, this.reachedAt);
		if (this.lost) {
			this.lost = false;
			this.log.append("store-regained", this.prefix, "revision", this.revision);
		}
	}

	private void failed(String call, StoreReply<MetadataStore.Page> reply) {
		this.steadySince = Long.MAX_VALUE;
		if (!this.lost) {
			this.lost = true;
			this.log.append("store-lost", this.prefix, "call", call, "reply", reply);
		}
	}

	/**
	 * Says how often to ask for changes.
	 *
	 * @param waitMillis how long a watch waits, in milliseconds
	 * @param gapMillis pause after a watch that returned changes, in milliseconds
	 */
	public record Pace(long waitMillis, long gapMillis) {
	}

	/**
	 * Gets items as they are and as they change.
	 */
	public interface Listener {

		/**
		 * Takes in an item that was read, written or deleted.
		 * @param item the item
		 */
		void changed(StoredItem item);

		/**
		 * Notes that a batch of items has ended.
		 */
		default void delivered() {
		}

	}

}
