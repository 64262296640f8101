package io.lentilstream.control.store;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Reads all items whose keys start with a prefix, page by page.
 */
public final class RangeReader {

	private final MetadataStore store;

	private final String prefix;

	private final List<StoredItem> items = new ArrayList<>();

	private long firstRevision = -1;

	private RangeReader(MetadataStore store, String prefix) {
		this.store = store;
		this.prefix = prefix;
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
		new RangeReader(store, prefix).readPage("", reply);
	}

	private void readPage(String after, Consumer<StoreReply<MetadataStore.Page>> reply) {
		this.store.range(this.prefix, after, (pageReply) -> {
			if (!(pageReply instanceof StoreReply.Ok<MetadataStore.Page> page)) {
				reply.accept(pageReply);
				return;
			}
			this.items.addAll(page.value().items());
			if (this.firstRevision < 0) {
				this.firstRevision = page.value().asOfRevision();
			}
			if (page.value().more() && !page.value().items().isEmpty()) {
				readPage(this.items.get(this.items.size() - 1).key(), reply);
				return;
			}
			reply.accept(new StoreReply.Ok<>(new MetadataStore.Page(this.items, false, this.firstRevision)));
		});
	}

}
