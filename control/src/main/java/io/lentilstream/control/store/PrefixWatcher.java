package io.lentilstream.control.store;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.lentilstream.control.EventLoop;
import io.lentilstream.jobs.DecisionLog;

/**
 * Watches all items whose keys start with a prefix. Reads them once, then polls for
 * changes, and reads them again if the history of changes was compacted. If only the
 * current items matter, also reads them again after a failed poll, or if an item has
 * changed several times since the last one. Each poll waits only briefly, so that a
 * broken connection is detected early.
 */
public final class PrefixWatcher {

	private static final long RETRY_DELAY_MILLIS = 200;

	private final EventLoop loop;

	private final MetadataStore store;

	private final DecisionLog log;

	private final String prefix;

	private final WatchOptions options;

	private final Listener listener;

	private Set<String> knownKeys = new HashSet<>();

	private long revision;

	private boolean stopped;

	private boolean failing;

	/** The number of calls in a row that have failed. */
	private int failedCalls;

	/** The reply to the last call that failed. */
	private StoreReply<MetadataStore.Page> lastFailure;

	private long lastReplyAt = Long.MIN_VALUE / 2;

	private long stableSince = Long.MAX_VALUE;

	/**
	 * Creates a watcher that has not started.
	 * @param loop the event loop
	 * @param store the store
	 * @param log receives a line when the store becomes unreachable or reachable again
	 * @param prefix the prefix
	 * @param options how to poll for changes
	 * @param listener receives the items
	 */
	public PrefixWatcher(EventLoop loop, MetadataStore store, DecisionLog log, String prefix, WatchOptions options,
			Listener listener) {
		this.loop = loop;
		this.store = store;
		this.log = log;
		this.prefix = prefix;
		this.options = options;
		this.listener = listener;
	}

	/**
	 * Starts by reading all items.
	 */
	public void start() {
		if (this.options.catchUp() == CatchUp.ADDED_ITEMS) {
			RangeReader.readPages(this.store, this.prefix, this::pageFailed, this::pageRead, this::pagesRead);
			return;
		}
		RangeReader.readAll(this.store, this.prefix, this::pageFailed, this::rangeRead);
	}

	/**
	 * Starts after a revision at which all items are already known. Only for items whose
	 * deletion does not matter.
	 * @param afterRevision the revision
	 */
	public void startAfter(long afterRevision) {
		this.revision = afterRevision;
		watch();
	}

	/**
	 * Stops watching. Replies that arrive later are ignored.
	 */
	public void stop() {
		this.stopped = true;
	}

	/**
	 * Returns when the store last replied successfully.
	 * @return the time on the steady clock, in milliseconds
	 */
	public long lastReplyAt() {
		return this.lastReplyAt;
	}

	/**
	 * Returns since when the store has replied to all calls.
	 * @return the time on the steady clock, in milliseconds; in the future if the last
	 * call failed
	 */
	public long stableSince() {
		return this.stableSince;
	}

	private void pageFailed(StoreReply<MetadataStore.Page> reply, Runnable retry) {
		if (this.stopped) {
			return;
		}
		markUnreachable("read", reply);
		this.loop.schedule(RETRY_DELAY_MILLIS, () -> {
			if (!this.stopped) {
				retry.run();
			}
		});
	}

	private void pageRead(List<StoredItem> items, Runnable next) {
		if (this.stopped) {
			return;
		}
		markReachable();
		deliver(items);
		next.run();
	}

	private void pagesRead(long firstRevision) {
		this.revision = firstRevision;
		watch();
	}

	private void rangeRead(MetadataStore.Page page) {
		if (this.stopped) {
			return;
		}
		markReachable();
		this.revision = page.asOfRevision();
		Set<String> present = new HashSet<>();
		for (StoredItem item : page.items()) {
			present.add(item.key());
		}
		this.knownKeys.removeAll(present);
		Set<String> missing = this.knownKeys;
		this.knownKeys = present;
		for (String key : missing) {
			this.listener.itemChanged(new StoredItem(key, null, this.revision, 0));
		}
		deliver(page.items());
		watch();
	}

	private void watch() {
		if (this.stopped) {
			return;
		}
		// After a failure, polls without waiting, to detect the recovery of the store.
		this.store.watch(this.prefix, this.revision, this.failing ? 0 : this.options.waitMillis(), this::watched);
	}

	private void catchUp() {
		if (this.options.catchUp() == CatchUp.CURRENT_ITEMS && !this.stopped) {
			start();
			return;
		}
		watch();
	}

	private void watched(StoreReply<MetadataStore.Page> reply) {
		if (this.stopped) {
			return;
		}
		if (reply instanceof StoreReply.Gone<MetadataStore.Page>) {
			this.log.append("watch-history-gone", this.prefix, "revision", this.revision, "failed-calls",
					this.failedCalls, "last-failure", describeLastFailure());
			start();
			return;
		}
		if (!(reply instanceof StoreReply.Ok<MetadataStore.Page> page)) {
			markUnreachable("watch", reply);
			this.loop.schedule(RETRY_DELAY_MILLIS, this::catchUp);
			return;
		}
		markReachable();
		this.revision = Math.max(this.revision, page.value().asOfRevision());
		if (this.options.catchUp() != CatchUp.ADDED_ITEMS) {
			updateKnownKeys(page.value().items());
		}
		deliver(page.value().items());
		if (hasOutdatedItems(page.value().items())) {
			catchUp();
			return;
		}
		this.loop.schedule(page.value().items().isEmpty() ? 0 : this.options.pauseMillis(), this::watch);
	}

	private void updateKnownKeys(List<StoredItem> items) {
		for (StoredItem item : items) {
			if (item.exists()) {
				this.knownKeys.add(item.key());
			}
			else {
				this.knownKeys.remove(item.key());
			}
		}
	}

	// Changes that come faster than this machine receives them would delay each other.
	private boolean hasOutdatedItems(List<StoredItem> items) {
		return this.options.catchUp() == CatchUp.CURRENT_ITEMS
				&& items.stream().map(StoredItem::key).distinct().count() < items.size();
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
			this.log.append("store-regained", this.prefix, "revision", this.revision, "failed-calls", this.failedCalls,
					"last-failure", describeLastFailure());
			this.failedCalls = 0;
		}
	}

	private void markUnreachable(String call, StoreReply<MetadataStore.Page> reply) {
		this.stableSince = Long.MAX_VALUE;
		this.failedCalls++;
		this.lastFailure = reply;
		if (!this.failing) {
			this.failing = true;
			this.log.append("store-lost", this.prefix, "call", call, "reply", reply);
		}
	}

	private Object describeLastFailure() {
		return (this.failedCalls > 0) ? this.lastFailure : "none";
	}

	/**
	 * How to poll for changes.
	 *
	 * @param waitMillis how long a poll waits for changes, in milliseconds
	 * @param pauseMillis pause after a poll that returned changes, in milliseconds
	 * @param catchUp what to read after a failed poll, or if items change fast
	 */
	public record WatchOptions(long waitMillis, long pauseMillis, CatchUp catchUp) {
	}

	/**
	 * What to read after a failed poll, or if items change fast.
	 */
	public enum CatchUp {

		/** All changes since the last successful poll, in order. */
		CHANGES,

		/**
		 * The same, of many items whose deletion does not matter: their keys are not
		 * kept, and they are delivered page by page.
		 */
		ADDED_ITEMS,

		/**
		 * All current items. For few large items that change often, of which only the
		 * latest value matters.
		 */
		CURRENT_ITEMS

	}

	/**
	 * A listener for the current items and their changes.
	 */
	public interface Listener {

		/**
		 * Called for each item that was read, written or deleted.
		 * @param item the item; without a value if it was deleted
		 */
		void itemChanged(StoredItem item);

		/**
		 * Called after the last item of each reply, also if there was none.
		 */
		default void batchDelivered() {
		}

	}

}
