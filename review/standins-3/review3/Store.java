package review3;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: items, leases, watches and conditional writes. */
final class Store {

	private static final int MAX_VALUE_BYTES = 1_048_576;

	private static final int MAX_ENTRIES = 32;

	private static final long HISTORY_MS = 20_000;

	private static final long ANSWER_MS = 4;

	final InetSocketAddress address;

	private final TreeMap<String, Item> items = new TreeMap<>();

	private final ArrayDeque<Event> history = new ArrayDeque<>();

	private final Map<Long, Lease> leases = new HashMap<>();

	private long revision = 100;

	private long forgottenUpTo = 100;

	private long lastLease = 500;

	/** The calls that were refused because a value was larger than allowed. */
	int tooLarge;

	private record Item(String key, byte[] value, long revision, long created, long lease) {

		Map<String, Object> fields() {
			Map<String, Object> fields = new LinkedHashMap<>();
			fields.put("key", this.key);
			fields.put("value", Base64.getEncoder().encodeToString(this.value));
			fields.put("revision", this.revision);
			fields.put("created", this.created);
			fields.put("lease", this.lease);
			return fields;
		}

	}

	private record Event(long at, String key, long revision, Map<String, Object> fields) {
	}

	private static final class Lease {

		long ttl;

		long until;

	}

	Store() throws IOException {
		this.address = Http.freeAddress();
		Http.serve(this.address, this::handle);
		Http.THREADS.execute(this::expire);
	}

	private static long now() {
		return System.nanoTime() / 1_000_000;
	}

	private void expire() {
		while (true) {
			try {
				Thread.sleep(10);
			}
			catch (InterruptedException ex) {
				return;
			}
			synchronized (this) {
				long now = now();
				for (Iterator<Map.Entry<Long, Lease>> each = this.leases.entrySet().iterator(); each.hasNext();) {
					Map.Entry<Long, Lease> lease = each.next();
					if (now >= lease.getValue().until) {
						each.remove();
						deleteOf(lease.getKey());
					}
				}
				while (!this.history.isEmpty() && this.history.peek().at() < now - HISTORY_MS) {
					this.forgottenUpTo = this.history.poll().revision();
				}
			}
		}
	}

	private void deleteOf(long lease) {
		List<String> keys = this.items.values().stream().filter((item) -> item.lease() == lease).map(Item::key).toList();
		if (!keys.isEmpty()) {
			this.revision++;
			keys.forEach(this::deleted);
			notifyAll();
		}
	}

	private void deleted(String key) {
		if (this.items.remove(key) != null) {
			Map<String, Object> fields = new LinkedHashMap<>();
			fields.put("key", key);
			fields.put("revision", this.revision);
			fields.put("deleted", true);
			this.history.add(new Event(now(), key, this.revision, fields));
		}
	}

	private void written(String key, byte[] value, long lease) {
		Item old = this.items.get(key);
		Item item = new Item(key, value, this.revision, (old != null) ? old.created() : this.revision, lease);
		this.items.put(key, item);
		this.history.add(new Event(now(), key, this.revision, item.fields()));
	}

	/** Writes an item as the operator or a minion does. */
	synchronized void put(String key, String value) {
		this.revision++;
		written(key, value.getBytes(StandardCharsets.UTF_8), 0);
		notifyAll();
	}

	synchronized void remove(String key) {
		this.revision++;
		deleted(key);
		notifyAll();
	}

	synchronized int size(String key) {
		Item item = this.items.get(key);
		return (item != null) ? item.value().length : -1;
	}

	private Http.Answer handle(Http.Call call) throws Exception {
		Thread.sleep(ANSWER_MS);
		String path = call.path();
		if (path.equals("/lentilstream/kv-watch")) {
			return watch(call);
		}
		synchronized (this) {
			if (path.equals("/lentilstream/kv-key")) {
				Item item = this.items.get(call.query().get("key"));
				if (item == null) {
					return new Http.Answer(404, "{\"as-of\":" + this.revision + "}");
				}
				Map<String, Object> fields = item.fields();
				fields.put("as-of", this.revision);
				return new Http.Answer(200, Json.write(fields));
			}
			if (path.equals("/lentilstream/kv-range")) {
				return range(call);
			}
			if (path.equals("/lentilstream/kv-txn")) {
				return commit(Json.object(call.body()));
			}
			if (path.equals("/lentilstream/kv-lease")) {
				Lease lease = new Lease();
				lease.ttl = Math.max(1000, Math.min(600_000, Json.number(Json.object(call.body()).get("ttl-ms"), 0)));
				lease.until = now() + lease.ttl;
				this.leases.put(++this.lastLease, lease);
				return new Http.Answer(200, "{\"lease\":" + this.lastLease + ",\"ttl-ms\":" + lease.ttl + "}");
			}
			long id = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
			Lease lease = this.leases.get(id);
			if (lease == null) {
				return new Http.Answer(404, "{}");
			}
			if (path.startsWith("/lentilstream/kv-keep/")) {
				lease.until = now() + lease.ttl;
				return new Http.Answer(200, "{\"lease\":" + id + ",\"ttl-ms\":" + lease.ttl + "}");
			}
			this.leases.remove(id);
			deleteOf(id);
			return new Http.Answer(200, "{}");
		}
	}

	private Http.Answer range(Http.Call call) {
		String prefix = call.query().get("prefix");
		String after = call.query().getOrDefault("after", "");
		List<Object> found = new ArrayList<>();
		long bytes = 0;
		boolean more = false;
		for (Item item : this.items.tailMap((after.compareTo(prefix) > 0) ? after : prefix, true).values()) {
			if (!item.key().startsWith(prefix)) {
				break;
			}
			if (item.key().equals(after)) {
				continue;
			}
			if (found.size() >= 500 || bytes > 1_000_000) {
				more = true;
				break;
			}
			found.add(item.fields());
			bytes += item.value().length;
		}
		Map<String, Object> body = new LinkedHashMap<>();
		body.put("items", found);
		body.put("has-more", more);
		body.put("as-of", this.revision);
		return new Http.Answer(200, Json.write(body));
	}

	private synchronized Http.Answer watch(Http.Call call) throws InterruptedException {
		String prefix = call.query().get("prefix");
		long after = Long.parseLong(call.query().get("after"));
		long until = now() + Math.min(30_000, Long.parseLong(call.query().getOrDefault("wait-ms", "0")));
		while (true) {
			if (after < this.forgottenUpTo) {
				return new Http.Answer(410, "{}");
			}
			List<Object> events = new ArrayList<>();
			for (Event event : this.history) {
				if (event.revision() > after && event.key().startsWith(prefix)) {
					events.add(event.fields());
				}
			}
			long left = until - now();
			if (!events.isEmpty() || left <= 0) {
				Map<String, Object> body = new LinkedHashMap<>();
				body.put("events", events);
				body.put("as-of", this.revision);
				return new Http.Answer(200, Json.write(body));
			}
			wait(left);
		}
	}

	private Http.Answer commit(Map<String, Object> body) {
		List<Object> conditions = Json.list(body.get("expected-rev"));
		List<Object> writes = Json.list(body.get("writes"));
		List<Object> deletes = Json.list(body.get("deletes"));
		if (conditions.size() + writes.size() + deletes.size() > MAX_ENTRIES) {
			return new Http.Answer(400, "{}");
		}
		boolean holds = true;
		List<Object> current = new ArrayList<>();
		for (Object row : conditions) {
			String key = (String) Json.map(row).get("key");
			Item item = this.items.get(key);
			long found = (item != null) ? item.revision() : 0;
			holds &= found == Json.number(Json.map(row).get("revision"), 0);
			Map<String, Object> missing = new LinkedHashMap<>();
			missing.put("key", key);
			missing.put("revision", 0L);
			current.add((item != null) ? item.fields() : missing);
		}
		if (!holds) {
			return new Http.Answer(412, Json.write(Map.of("items", current)));
		}
		for (Object row : writes) {
			String key = (String) Json.map(row).get("key");
			if (key.startsWith("op/") || key.startsWith("servers/")) {
				return new Http.Answer(403, "{}");
			}
			if (Base64.getDecoder().decode((String) Json.map(row).get("value")).length > MAX_VALUE_BYTES) {
				this.tooLarge++;
				return new Http.Answer(400, "{}");
			}
			long lease = Json.number(Json.map(row).get("lease"), 0);
			if (lease != 0 && !this.leases.containsKey(lease)) {
				return new Http.Answer(404, "{}");
			}
		}
		this.revision++;
		for (Object row : writes) {
			written((String) Json.map(row).get("key"), Base64.getDecoder().decode((String) Json.map(row).get("value")),
					Json.number(Json.map(row).get("lease"), 0));
		}
		deletes.forEach((key) -> deleted((String) key));
		notifyAll();
		return new Http.Answer(200, "{\"revision\":" + this.revision + "}");
	}

}
