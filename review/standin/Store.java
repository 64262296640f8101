import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A stand-in for the platform's metadata store. Linearizable: each call is carried out
 * under one lock, and answered 4 ms after it arrived.
 */
final class Store {

	/** Whether and how the store answers the system's processes. */
	enum Mode {

		UP, SILENT, BUSY, RESET

	}

	private record Item(String value, long revision, long created, long lease) {
	}

	private record Event(String key, String value, long revision, long created, long lease) {
	}

	private static final long ANSWER_MILLIS = 4;

	private static final int PAGE = 500;

	private static final int MAX_ENTRIES = 32;

	private final int valueBytes;

	private final TreeMap<String, Item> items = new TreeMap<>();

	private final List<Event> history = new ArrayList<>();

	private final Map<Long, Long> leaseEnds = new HashMap<>();

	private final Map<Long, Long> leaseTtl = new HashMap<>();

	private long revision = 100;

	private long lastLease = 7000;

	private volatile Mode mode = Mode.UP;

	private long downSince;

	/** A way to the store for one process, which can be cut. */
	final class Door {

		final HttpServer server;

		private volatile boolean cut;

		Door() throws IOException {
			this.server = new HttpServer((request) -> {
				if (this.cut) {
					return HttpServer.Reply.SILENT;
				}
				HttpServer.Reply reply = Store.this.handle(request);
				return this.cut ? HttpServer.Reply.SILENT : reply;
			});
		}

		void cut(boolean next) {
			this.cut = next;
		}

	}

	Store(int valueBytes) throws IOException {
		this.valueBytes = valueBytes;
		Thread thread = new Thread(this::expireLeases, "leases");
		thread.setDaemon(true);
		thread.start();
	}

	Mode mode() {
		return this.mode;
	}

	/**
	 * Takes the store down or up. Leases pause while it is down, which the pages allow.
	 */
	synchronized void mode(Mode next) {
		Record.line("store is " + next);
		if (this.mode == Mode.UP && next != Mode.UP) {
			this.downSince = Record.now();
		}
		if (this.mode != Mode.UP && next == Mode.UP) {
			long pause = Record.now() - this.downSince;
			this.leaseEnds.replaceAll((lease, end) -> end + pause);
		}
		this.mode = next;
		notifyAll();
	}

	/** Writes an item as the operator or a minion does. */
	synchronized void put(String key, String value) {
		write(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0, ++this.revision);
		notifyAll();
	}

	/** Writes bytes under a key of the system. */
	synchronized void putBytes(String key, byte[] value) {
		write(key, Base64.getEncoder().encodeToString(value), 0, ++this.revision);
		notifyAll();
	}

	synchronized void delete(String key) {
		remove(key, ++this.revision);
		notifyAll();
	}

	synchronized byte[] read(String key) {
		Item item = this.items.get(key);
		return (item != null) ? Base64.getDecoder().decode(item.value) : null;
	}

	/** The revision at which an item was created; 0 if there is none. */
	synchronized long created(String key) {
		Item item = this.items.get(key);
		return (item != null) ? item.created : 0;
	}

	private void write(String key, String value, long lease, long at) {
		Item before = this.items.get(key);
		Item item = new Item(value, at, (before != null) ? before.created : at, lease);
		this.items.put(key, item);
		this.history.add(new Event(key, value, at, item.created, lease));
	}

	private void remove(String key, long at) {
		if (this.items.remove(key) != null) {
			this.history.add(new Event(key, null, at, 0, 0));
		}
	}

	private void expireLeases() {
		while (true) {
			try {
				Thread.sleep(5);
			}
			catch (InterruptedException ex) {
				return;
			}
			synchronized (this) {
				if (this.mode == Mode.UP) {
					long now = Record.now();
					List<Long> ended = this.leaseEnds.keySet().stream().filter((id) -> this.leaseEnds.get(id) < now)
						.toList();
					ended.forEach(this::endLease);
				}
			}
		}
	}

	private void endLease(long lease) {
		this.leaseEnds.remove(lease);
		List<String> keys = this.items.entrySet().stream().filter((entry) -> entry.getValue().lease == lease)
			.map(Map.Entry::getKey).toList();
		if (!keys.isEmpty()) {
			this.revision++;
			keys.forEach((key) -> remove(key, this.revision));
			notifyAll();
		}
	}

	private HttpServer.Reply handle(HttpServer.Request request) throws InterruptedException {
		HttpServer.Reply refused = refusal();
		if (refused != null) {
			return refused;
		}
		HttpServer.Reply reply = dispatch(request);
		Thread.sleep(ANSWER_MILLIS);
		refused = refusal();
		return (refused != null && refused.status() < 0) ? refused : reply;
	}

	private HttpServer.Reply refusal() {
		return switch (this.mode) {
			case UP -> null;
			case SILENT -> HttpServer.Reply.SILENT;
			case RESET -> HttpServer.Reply.RESET;
			case BUSY -> HttpServer.Reply.of(503, null);
		};
	}

	private HttpServer.Reply dispatch(HttpServer.Request request) throws InterruptedException {
		String path = request.path();
		if (path.equals("/lentilstream/kv-key")) {
			return key(request.query().get("key"));
		}
		if (path.equals("/lentilstream/kv-range")) {
			return range(request.query().get("prefix"), request.query().getOrDefault("after", ""));
		}
		if (path.equals("/lentilstream/kv-watch")) {
			return watch(request.query().get("prefix"), Long.parseLong(request.query().get("after")),
					Long.parseLong(request.query().getOrDefault("wait-ms", "0")));
		}
		if (path.equals("/lentilstream/kv-txn")) {
			return transact(Json.object(request.body()));
		}
		if (path.equals("/lentilstream/kv-lease")) {
			return grant(Json.number(Json.object(request.body()), "ttl-ms", 1000));
		}
		if (path.startsWith("/lentilstream/kv-keep/")) {
			return keep(Long.parseLong(path.substring("/lentilstream/kv-keep/".length())));
		}
		if (path.startsWith("/lentilstream/kv-lease-end/")) {
			return end(Long.parseLong(path.substring("/lentilstream/kv-lease-end/".length())));
		}
		return HttpServer.Reply.of(404, null);
	}

	private Map<String, Object> row(String key, Item item) {
		return Json.map("key", key, "value", item.value, "revision", item.revision, "created", item.created, "lease",
				item.lease);
	}

	private synchronized HttpServer.Reply key(String key) {
		Item item = this.items.get(key);
		if (item == null) {
			return HttpServer.Reply.of(404, null);
		}
		Map<String, Object> row = row(key, item);
		row.put("as-of", this.revision);
		return HttpServer.Reply.of(200, row);
	}

	private synchronized HttpServer.Reply range(String prefix, String after) {
		List<Object> rows = new ArrayList<>();
		boolean more = false;
		for (Map.Entry<String, Item> entry : this.items.tailMap(prefix).entrySet()) {
			if (!entry.getKey().startsWith(prefix)) {
				break;
			}
			if (entry.getKey().compareTo(after) <= 0) {
				continue;
			}
			if (rows.size() == PAGE) {
				more = true;
				break;
			}
			rows.add(row(entry.getKey(), entry.getValue()));
		}
		return HttpServer.Reply.of(200, Json.map("items", rows, "has-more", more, "as-of", this.revision));
	}

	private synchronized HttpServer.Reply watch(String prefix, long after, long waitMillis)
			throws InterruptedException {
		long until = Record.now() + waitMillis;
		while (true) {
			List<Object> rows = new ArrayList<>();
			for (int i = this.history.size() - 1; i >= 0 && this.history.get(i).revision > after; i--) {
				Event event = this.history.get(i);
				if (event.key.startsWith(prefix)) {
					rows.add(0, (event.value != null)
							? Json.map("key", event.key, "value", event.value, "revision", event.revision, "created",
									event.created, "lease", event.lease)
							: Json.map("key", event.key, "revision", event.revision, "deleted", true));
				}
			}
			long left = until - Record.now();
			if (!rows.isEmpty() || left <= 0 || this.mode != Mode.UP) {
				return HttpServer.Reply.of(200, Json.map("events", rows, "as-of", this.revision));
			}
			wait(left);
		}
	}

	@SuppressWarnings("unchecked")
	private synchronized HttpServer.Reply transact(Map<String, Object> body) {
		List<Object> conditions = (List<Object>) body.getOrDefault("expected-rev", List.of());
		List<Object> writes = (List<Object>) body.getOrDefault("writes", List.of());
		List<Object> deletes = (List<Object>) body.getOrDefault("deletes", List.of());
		if (conditions.size() + writes.size() + deletes.size() > MAX_ENTRIES) {
			return HttpServer.Reply.of(400, null);
		}
		boolean holds = true;
		List<Object> current = new ArrayList<>();
		for (Object element : conditions) {
			Map<String, Object> condition = (Map<String, Object>) element;
			String key = Json.text(condition, "key", "");
			Item item = this.items.get(key);
			long found = (item != null) ? item.revision : 0;
			holds &= found == Json.number(condition, "revision", 0);
			current.add((item != null) ? row(key, item) : Json.map("key", key, "revision", 0));
		}
		if (!holds) {
			return HttpServer.Reply.of(412, Json.map("items", current));
		}
		for (Object element : writes) {
			Map<String, Object> write = (Map<String, Object>) element;
			long lease = Json.number(write, "lease", 0);
			if (lease != 0 && !this.leaseEnds.containsKey(lease)) {
				return HttpServer.Reply.of(404, null);
			}
			String key = Json.text(write, "key", "");
			if (key.startsWith("op/") || key.startsWith("servers/")) {
				return HttpServer.Reply.of(403, null);
			}
			if (Base64.getDecoder().decode(Json.text(write, "value", "")).length > this.valueBytes) {
				Record.line("store refuses a value over " + this.valueBytes + " bytes for " + key);
				return HttpServer.Reply.of(400, null);
			}
		}
		this.revision++;
		for (Object element : writes) {
			Map<String, Object> write = (Map<String, Object>) element;
			write(Json.text(write, "key", ""), Json.text(write, "value", ""), Json.number(write, "lease", 0),
					this.revision);
		}
		for (Object key : deletes) {
			remove((String) key, this.revision);
		}
		notifyAll();
		return HttpServer.Reply.of(200, Json.map("revision", this.revision));
	}

	private synchronized HttpServer.Reply grant(long ttl) {
		long lease = ++this.lastLease;
		this.leaseTtl.put(lease, ttl);
		this.leaseEnds.put(lease, Record.now() + ttl);
		return HttpServer.Reply.of(200, Json.map("lease", lease, "ttl-ms", ttl));
	}

	private synchronized HttpServer.Reply keep(long lease) {
		if (!this.leaseEnds.containsKey(lease)) {
			return HttpServer.Reply.of(404, null);
		}
		this.leaseEnds.put(lease, Record.now() + this.leaseTtl.get(lease));
		return HttpServer.Reply.of(200, Json.map("ttl-ms", this.leaseTtl.get(lease)));
	}

	private synchronized HttpServer.Reply end(long lease) {
		if (!this.leaseEnds.containsKey(lease)) {
			return HttpServer.Reply.of(404, null);
		}
		endLease(lease);
		return HttpServer.Reply.of(200, Json.map());
	}

}
