package io.lentilstream.standin;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Consumer;

import io.lentilstream.clients.StoreClient;
import io.lentilstream.clients.http.PlatformMessages.ConflictAnswer;
import io.lentilstream.clients.http.PlatformMessages.ErrorAnswer;
import io.lentilstream.clients.http.PlatformMessages.LeaseAnswer;
import io.lentilstream.clients.http.PlatformMessages.ListAnswer;
import io.lentilstream.clients.http.PlatformMessages.ReadAnswer;
import io.lentilstream.clients.http.PlatformMessages.StoredMessage;
import io.lentilstream.clients.http.PlatformMessages.WatchAnswer;
import io.lentilstream.clients.http.PlatformMessages.WriteMessage;
import io.lentilstream.clients.http.PlatformMessages.WrittenAnswer;
import io.lentilstream.model.MonotonicTime;

/**
 * Keeps the values, leases and waiting watches of the stand-in's store. The revision of
 * the whole store is the version of a value, so versions grow also after a deletion.
 */
final class StandinStore {

	/**
	 * Changes kept for watches; an older one makes a watch answer that it is compacted.
	 */
	private static final int KEPT_CHANGES = 10_000;

	private final TimerQueue timers;

	private final TreeMap<String, Value> values = new TreeMap<>();

	private final Map<Long, Lease> leases = new HashMap<>();

	private final Deque<Change> changes = new ArrayDeque<>();

	private final List<Watch> watches = new ArrayList<>();

	private long revision;

	private long compactedRevision;

	private long nextLease = 1;

	private int changesToHide;

	StandinStore(TimerQueue timers) {
		this.timers = timers;
	}

	synchronized Reply read(String key) {
		expireLeases();
		return Reply.json(200, new ReadAnswer(message(key, this.values.get(key))));
	}

	synchronized Reply list(String prefix) {
		expireLeases();
		List<StoredMessage> found = new ArrayList<>();
		for (Map.Entry<String, Value> entry : below(prefix).entrySet()) {
			found.add(message(entry.getKey(), entry.getValue()));
		}
		return Reply.json(200, new ListAnswer(found, this.revision));
	}

	private SortedMap<String, Value> below(String prefix) {
		return this.values.subMap(prefix, prefix + Character.MAX_VALUE);
	}

	synchronized Reply write(WriteMessage write) {
		expireLeases();
		if (write.value() != null && write.value().length > StoreClient.MAX_VALUE_BYTES) {
			return Reply.json(413, new ErrorAnswer(false, "value too large"));
		}
		if (write.lease() != null && !this.leases.containsKey(write.lease())) {
			return Reply.json(412, new ErrorAnswer(false, "lease lapsed"));
		}
		Value current = this.values.get(write.key());
		long version = (current != null) ? current.version() : 0;
		if (version != write.expectedVersion()) {
			return Reply.json(409, new ConflictAnswer(message(write.key(), current)));
		}
		this.revision++;
		if (write.value() != null) {
			this.values.put(write.key(), new Value(write.value(), this.revision, write.lease()));
		}
		else {
			this.values.remove(write.key());
		}
		addChange(write.key());
		answerWatches();
		return Reply.json(200, new WrittenAnswer(this.revision));
	}

	synchronized Reply grantLease(Duration ttl) {
		long id = this.nextLease++;
		renew(id, new Lease(ttl, null));
		return Reply.json(200, new LeaseAnswer(id));
	}

	synchronized Reply renewLease(long id) {
		expireLeases();
		Lease lease = this.leases.get(id);
		if (lease == null) {
			return Reply.json(404, new ErrorAnswer(false, "lease lapsed"));
		}
		renew(id, lease);
		return Reply.json(200, new LeaseAnswer(id));
	}

	private void renew(long id, Lease lease) {
		MonotonicTime deadline = this.timers.now().plus(lease.ttl());
		this.leases.put(id, new Lease(lease.ttl(), deadline));
		this.timers.at(deadline, this::expire);
	}

	synchronized Reply revokeLease(long id) {
		expireLeases();
		if (this.leases.remove(id) == null) {
			return Reply.json(404, new ErrorAnswer(false, "lease lapsed"));
		}
		deleteKeysOf(id);
		answerWatches();
		return Reply.json(200, new LeaseAnswer(id));
	}

	private synchronized void expire() {
		expireLeases();
	}

	private void expireLeases() {
		MonotonicTime now = this.timers.now();
		boolean deleted = false;
		Iterator<Map.Entry<Long, Lease>> entries = this.leases.entrySet().iterator();
		while (entries.hasNext()) {
			Map.Entry<Long, Lease> entry = entries.next();
			if (!now.isBefore(entry.getValue().deadline())) {
				entries.remove();
				deleteKeysOf(entry.getKey());
				deleted = true;
			}
		}
		if (deleted) {
			answerWatches();
		}
	}

	private void deleteKeysOf(long lease) {
		List<String> keys = new ArrayList<>();
		this.values.forEach((key, value) -> {
			if (value.lease() != null && value.lease() == lease) {
				keys.add(key);
			}
		});
		for (String key : keys) {
			this.revision++;
			this.values.remove(key);
			addChange(key);
		}
	}

	private void addChange(String key) {
		if (this.changesToHide > 0) {
			this.changesToHide--;
			return;
		}
		this.changes.add(new Change(key, this.revision));
		if (this.changes.size() > KEPT_CHANGES) {
			this.compactedRevision = this.changes.poll().revision();
		}
	}

	void watch(String prefix, long after, Duration wait, Consumer<Reply> answer) {
		Watch watch = new Watch(prefix, after, answer);
		Optional<Reply> reply;
		synchronized (this) {
			expireLeases();
			reply = answerTo(watch);
			if (reply.isEmpty()) {
				this.watches.add(watch);
			}
		}
		if (reply.isPresent()) {
			answer.accept(reply.get());
			return;
		}
		this.timers.at(this.timers.now().plus(wait), () -> end(watch));
	}

	private void end(Watch watch) {
		Reply reply;
		synchronized (this) {
			if (!this.watches.remove(watch)) {
				return;
			}
			reply = Reply.json(200, new WatchAnswer(List.of(), List.of(), this.revision));
		}
		watch.answer().accept(reply);
	}

	private void answerWatches() {
		Iterator<Watch> waiting = this.watches.iterator();
		while (waiting.hasNext()) {
			Watch watch = waiting.next();
			Optional<Reply> reply = answerTo(watch);
			if (reply.isPresent()) {
				waiting.remove();
				watch.answer().accept(reply.get());
			}
		}
	}

	private Optional<Reply> answerTo(Watch watch) {
		if (watch.after() < this.compactedRevision || watch.after() > this.revision) {
			return Optional.of(Reply.json(410, new ErrorAnswer(false, "compacted")));
		}
		Map<String, StoredMessage> changed = new LinkedHashMap<>();
		Iterator<Change> newest = this.changes.descendingIterator();
		while (newest.hasNext()) {
			Change change = newest.next();
			if (change.revision() <= watch.after()) {
				break;
			}
			if (change.key().startsWith(watch.prefix())) {
				changed.put(change.key(), message(change.key(), this.values.get(change.key())));
			}
		}
		if (changed.isEmpty()) {
			return Optional.empty();
		}
		List<StoredMessage> written = new ArrayList<>();
		List<String> deleted = new ArrayList<>();
		changed.forEach((key, message) -> {
			if (message != null) {
				written.add(message);
			}
			else {
				deleted.add(key);
			}
		});
		return Optional.of(Reply.json(200, new WatchAnswer(written, deleted, this.revision)));
	}

	/**
	 * Ends all waiting watches with a reply.
	 * @param reply the reply; {@code null} for an answer without changes
	 */
	void endWatches(Reply reply) {
		List<Watch> ended;
		Reply sent;
		synchronized (this) {
			ended = List.copyOf(this.watches);
			this.watches.clear();
			sent = (reply != null) ? reply : Reply.json(200, new WatchAnswer(List.of(), List.of(), this.revision));
		}
		ended.forEach((watch) -> watch.answer().accept(sent));
	}

	// Forgets the changes so far, so that a watch from an older revision must list again.
	synchronized void compact() {
		this.changes.clear();
		this.compactedRevision = this.revision;
	}

	synchronized void hideChanges(int count) {
		this.changesToHide = count;
	}

	synchronized int waitingWatches() {
		return this.watches.size();
	}

	synchronized Map<String, byte[]> contents() {
		Map<String, byte[]> contents = new TreeMap<>();
		this.values.forEach((key, value) -> contents.put(key, value.bytes()));
		return contents;
	}

	private static StoredMessage message(String key, Value value) {
		return (value != null) ? new StoredMessage(key, value.bytes(), value.version()) : null;
	}

	private record Value(byte[] bytes, long version, Long lease) {
	}

	private record Lease(Duration ttl, MonotonicTime deadline) {
	}

	private record Change(String key, long revision) {
	}

	private record Watch(String prefix, long after, Consumer<Reply> answer) {
	}

}
