package io.lentilstream.control.store;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

/**
 * Reads all items whose keys start with a prefix, page by page.
 */
public final class RangeReader {

	private final MetadataStore store;

	private final String prefix;

	private long firstRevision = -1;

	private final FailureHandler failureHandler;

	private final PageConsumer pageConsumer;

	private final LongConsumer completed;

	private RangeReader(MetadataStore store, String prefix, FailureHandler failureHandler, PageConsumer pageConsumer,
			LongConsumer completed) {
		this.store = store;
		this.prefix = prefix;
		this.failureHandler = failureHandler;
		this.pageConsumer = pageConsumer;
		this.completed = completed;
	}

	/**
	 * Reads all items whose keys start with a prefix. The pages together are not a
	 * snapshot, so the returned revision is that of the first page; changes must be
	 * watched from there.
	 * @param store the store
	 * @param prefix the prefix
	 * @param reply receives the items, or the first reply that was not successful
	 */
	public static void readAll(MetadataStore store, String prefix, Consumer<StoreReply<MetadataStore.Page>> reply) {
		readAll(store, prefix, (failure, retry) -> reply.accept(failure),
				(page) -> reply.accept(new StoreReply.Ok<>(page)));
	}

	/**
	 * Reads all items whose keys start with a prefix, and lets the caller retry single
	 * pages.
	 * @param store the store
	 * @param prefix the prefix
	 * @param failureHandler notified of each page that could not be read
	 * @param completed receives the items
	 */
	public static void readAll(MetadataStore store, String prefix, FailureHandler failureHandler,
			Consumer<MetadataStore.Page> completed) {
		List<StoredItem> items = new ArrayList<>();
		readPages(store, prefix, failureHandler, (page, next) -> {
			items.addAll(page);
			next.run();
		}, (revision) -> completed.accept(new MetadataStore.Page(items, false, revision)));
	}

	/**
	 * Reads all items whose keys start with a prefix without holding more than a page of
	 * them, and lets the caller retry single pages.
	 * @param store the store
	 * @param prefix the prefix
	 * @param failureHandler notified of each page that could not be read
	 * @param pageConsumer receives each page
	 * @param completed receives the revision of the first page, from which changes must
	 * be watched
	 */
	public static void readPages(MetadataStore store, String prefix, FailureHandler failureHandler,
			PageConsumer pageConsumer, LongConsumer completed) {
		new RangeReader(store, prefix, failureHandler, pageConsumer, completed).readPage("");
	}

	private void readPage(String after) {
		this.store.range(this.prefix, after, (reply) -> {
			if (!(reply instanceof StoreReply.Ok<MetadataStore.Page> page)) {
				this.failureHandler.pageFailed(reply, () -> readPage(after));
				return;
			}
			if (this.firstRevision < 0) {
				this.firstRevision = page.value().asOfRevision();
			}
			List<StoredItem> items = page.value().items();
			String last = items.isEmpty() ? "" : items.get(items.size() - 1).key();
			boolean more = page.value().more() && !items.isEmpty();
			this.pageConsumer.pageRead(items, () -> {
				if (more) {
					readPage(last);
				}
				else {
					this.completed.accept(this.firstRevision);
				}
			});
		});
	}

	/**
	 * Decides whether and when a page that could not be read is read again.
	 */
	@FunctionalInterface
	public interface FailureHandler {

		/**
		 * Handles a reply that was not successful.
		 * @param reply the reply
		 * @param retry reads the same page again; the pages before it are kept
		 */
		void pageFailed(StoreReply<MetadataStore.Page> reply, Runnable retry);

	}

	/**
	 * Receives the pages of a range, one after the other.
	 */
	@FunctionalInterface
	public interface PageConsumer {

		/**
		 * Handles a page.
		 * @param items the items
		 * @param next reads the next page; to be run once, when this one has been handled
		 */
		void pageRead(List<StoredItem> items, Runnable next);

	}

}
