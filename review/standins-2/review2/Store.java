package review2;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A stand-in for the platform's store, as PROTOCOL.md describes it: at most 500 items or
 * 1 MB in an answer, a history of 20 s, leases, conditions.
 */
final class Store {

	private static final int MAX_ITEMS = 500;

	private static final int MAX_BYTES = 1_000_000;

	private static final long HISTORY_MILLIS = 20_000;

	private static final long ANSWER_MILLIS = 4;

	private final TreeMap<String, Item> items = new TreeMap<>();

	private final List<Item> history = new ArrayList<>();

	private final Map<Long, long[]> leases = new HashMap<>();

	private final Server server;

	private long revision = 1;

	private long forgotten;

	private long lastLease = 1000;

	private volatile boolean closed;

	Store() {
		this.server = new Server(0, this::handle);
		Thread expiry = new Thread(this::expire, "leases");
		expiry.setDaemon(true);
		expiry.start();
	}

	int port() {
		return this.server.port();
	}

	void close() {
		this.closed = true;
		this.server.close();
	}

	/**
	 * Writes an item like an operator or a minion; {@code null} deletes it.
	 */
	synchronized long put(String key, String value) {
		this.revision++;
		change(key, (value != null) ? value.getBytes(StandardCharsets.UTF_8) : null, 0);
		notifyAll();
		return this.revision;
	}

	/**
	 * Adds an item that has been there for longer than the history lasts.
	 */
	synchronized void addOld(String key, byte[] value) {
		this.revision++;
		this.forgotten = this.revision;
		this.items.put(key, new Item(key, value, this.revision, this.revision, 0, 0));
	}

	synchronized byte[] get(String key) {
		Item item = this.items.get(key);
		return (item != null) ? item.value : null;
	}

	synchronized List<String> keys(String prefix) {
		return this.items.tailMap(prefix).keySet().stream().takeWhile((key) -> key.startsWith(prefix)).toList();
	}

	private Server.Reply handle(Server.Request request) {
		try {
			Thread.sleep(ANSWER_MILLIS);
			return switch (request.path()) {
				case "/lentilstream/kv-key" -> key(request);
				case "/lentilstream/kv-range" -> range(request);
				case "/lentilstream/kv-watch" -> watch(request);
				case "/lentilstream/kv-txn" -> transact(request);
				case "/lentilstream/kv-lease" -> grant(request);
				default -> changeLease(request.path());
			};
		}
		catch (InterruptedException ex) {
			return null;
		}
	}

	private synchronized Server.Reply key(Server.Request request) {
		Item item = this.items.get(request.query().get("key"));
		if (item == null) {
			return new Server.Reply(404, Map.of());
		}
		Map<String, Object> body = item.json();
		body.put("as-of", this.revision);
		return new Server.Reply(200, body);
	}

	private synchronized Server.Reply range(Server.Request request) {
		String prefix = request.query().get("prefix");
		String after = request.query().get("after");
		List<Object> page = new ArrayList<>();
		int bytes = 0;
		boolean more = false;
		for (Item item : this.items.tailMap((after != null) ? after : prefix, after == null).values()) {
			if (!item.key.startsWith(prefix)) {
				break;
			}
			if (page.size() == MAX_ITEMS || !page.isEmpty() && bytes + item.size() > MAX_BYTES) {
				more = true;
				break;
			}
			bytes += item.size();
			page.add(item.json());
		}
		return new Server.Reply(200, Map.of("items", page, "has-more", more, "as-of", this.revision));
	}

	private synchronized Server.Reply watch(Server.Request request) throws InterruptedException {
		String prefix = request.query().get("prefix");
		long after = Long.parseLong(request.query().get("after"));
		long until = millis() + Long.parseLong(request.query().get("wait-ms"));
		while (true) {
			if (after < this.forgotten) {
				return new Server.Reply(410, Map.of());
			}
			List<Object> events = new ArrayList<>();
			long asOf = this.revision;
			int bytes = 0;
			for (Item item : this.history) {
				if (item.revision <= after || !item.key.startsWith(prefix)) {
					continue;
				}
				if (!events.isEmpty() && (events.size() >= MAX_ITEMS || bytes + item.size() > MAX_BYTES)) {
					asOf = item.revision - 1;
					break;
				}
				bytes += item.size();
				events.add(item.json());
			}
			long left = until - millis();
			if (!events.isEmpty() || left <= 0 || this.closed) {
				return new Server.Reply(200, Map.of("events", events, "as-of", asOf));
			}
			wait(left);
		}
	}

	@SuppressWarnings("unchecked")
	private synchronized Server.Reply transact(Server.Request request) {
		List<Object> current = new ArrayList<>();
		boolean conflict = false;
		for (Object element : list(request, "expected-rev")) {
			Map<String, Object> row = (Map<String, Object>) element;
			String key = (String) row.get("key");
			Item item = this.items.get(key);
			conflict |= ((item != null) ? item.revision : 0) != (Long) row.get("revision");
			current.add((item != null) ? item.json() : new LinkedHashMap<>(Map.of("key", key, "revision", 0)));
		}
		if (conflict) {
			return new Server.Reply(412, Map.of("items", current));
		}
		for (Object element : list(request, "writes")) {
			Object lease = ((Map<String, Object>) element).get("lease");
			if (lease != null && (Long) lease != 0 && !this.leases.containsKey(lease)) {
				return new Server.Reply(404, Map.of());
			}
		}
		this.revision++;
		for (Object element : list(request, "writes")) {
			Map<String, Object> row = (Map<String, Object>) element;
			long lease = (row.get("lease") instanceof Long id) ? id : 0;
			change((String) row.get("key"), Base64.getDecoder().decode((String) row.get("value")), lease);
		}
		for (Object key : list(request, "deletes")) {
			change((String) key, null, 0);
		}
		notifyAll();
		return new Server.Reply(200, Map.of("revision", this.revision));
	}

	private static List<?> list(Server.Request request, String field) {
		return (request.body().get(field) instanceof List<?> list) ? list : List.of();
	}

	private synchronized Server.Reply grant(Server.Request request) {
		long ttl = request.number("ttl-ms", 1000);
		this.leases.put(++this.lastLease, new long[] { ttl, millis() + ttl });
		return new Server.Reply(200, Map.of("lease", this.lastLease, "ttl-ms", ttl));
	}

	private synchronized Server.Reply changeLease(String path) {
		long id = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
		long[] lease = this.leases.get(id);
		if (lease == null) {
			return new Server.Reply(404, Map.of());
		}
		if (path.startsWith("/lentilstream/kv-lease-end/")) {
			end(id);
			return new Server.Reply(200, Map.of());
		}
		lease[1] = millis() + lease[0];
		return new Server.Reply(200, Map.of("ttl-ms", lease[0]));
	}

	private void expire() {
		while (!this.closed) {
			try {
				Thread.sleep(20);
			}
			catch (InterruptedException ex) {
				return;
			}
			synchronized (this) {
				long now = millis();
				for (Long id : List.copyOf(this.leases.keySet())) {
					if (this.leases.get(id)[1] < now) {
						end(id);
					}
				}
				while (!this.history.isEmpty() && this.history.get(0).at < now - HISTORY_MILLIS) {
					this.forgotten = this.history.remove(0).revision;
				}
			}
		}
	}

	private void end(long lease) {
		this.leases.remove(lease);
		for (Item item : List.copyOf(this.items.values())) {
			if (item.lease == lease) {
				this.revision++;
				change(item.key, null, 0);
			}
		}
		notifyAll();
	}

	private void change(String key, byte[] value, long lease) {
		Item former = this.items.get(key);
		if (former == null && value == null) {
			return;
		}
		long created = (former != null) ? former.created : this.revision;
		Item item = new Item(key, value, this.revision, created, lease, millis());
		if (value != null) {
			this.items.put(key, item);
		}
		else {
			this.items.remove(key);
		}
		this.history.add(item);
	}

	static long millis() {
		return System.nanoTime() / 1_000_000;
	}

	private record Item(String key, byte[] value, long revision, long created, long lease, long at) {

		int size() {
			return (this.value != null) ? this.value.length + this.key.length() : this.key.length();
		}

		Map<String, Object> json() {
			Map<String, Object> json = new LinkedHashMap<>();
			json.put("key", this.key);
			json.put("revision", this.revision);
			if (this.value == null) {
				json.put("deleted", true);
				return json;
			}
			json.put("value", Base64.getEncoder().encodeToString(this.value));
			json.put("created", this.created);
			json.put("lease", this.lease);
			return json;
		}

	}

}
