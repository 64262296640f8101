package io.lentilstream.benchmarks.shards;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import io.lentilstream.clients.LeaseId;
import io.lentilstream.clients.LeaseOutcome;
import io.lentilstream.clients.ListOutcome;
import io.lentilstream.clients.ReadOutcome;
import io.lentilstream.clients.StoreKey;
import io.lentilstream.clients.StoreWrite;
import io.lentilstream.clients.StoredValue;
import io.lentilstream.clients.WriteOutcome;
import io.lentilstream.model.MonotonicTime;

/**
 * Is a store without faults that counts calls and bytes.
 */
public final class MemoryStore {

	private final TreeMap<String, StoredValue> values = new TreeMap<>();

	private final Map<String, LeaseId> attached = new HashMap<>();

	private final Map<LeaseId, MonotonicTime> leases = new HashMap<>();

	private long leaseMillis;

	private long reads;

	private long writes;

	private long writtenBytes;

	/**
	 * Carries out a compare-and-swap.
	 * @param write the compare-and-swap
	 * @return the outcome
	 */
	public WriteOutcome write(StoreWrite write) {
		this.writes++;
		String path = write.key().path();
		StoredValue current = this.values.get(path);
		long version = (current != null) ? current.version() : StoreWrite.ABSENT;
		if (version != write.expectedVersion()) {
			return new WriteOutcome.Conflict(Optional.ofNullable(current));
		}
		byte[] value = write.value().orElseThrow();
		this.writtenBytes += value.length;
		this.values.put(path, new StoredValue(write.key(), value, version + 1));
		write.lease().ifPresent((lease) -> this.attached.put(path, lease));
		return new WriteOutcome.Written(version + 1);
	}

	/**
	 * Reads a key.
	 * @param key the key
	 * @return the value, if there is one
	 */
	public ReadOutcome read(StoreKey key) {
		this.reads++;
		return new ReadOutcome.Read(Optional.ofNullable(this.values.get(key.path())));
	}

	/**
	 * Lists the keys below a prefix.
	 * @param prefix the prefix
	 * @return the values
	 */
	public ListOutcome list(StoreKey prefix) {
		this.reads++;
		List<StoredValue> found = new ArrayList<>(
				this.values.subMap(prefix.path(), prefix.path() + Character.MAX_VALUE).values());
		return new ListOutcome.Listed(found, 0);
	}

	LeaseOutcome grant(MonotonicTime now, long millis) {
		this.writes++;
		this.leaseMillis = millis;
		LeaseId lease = new LeaseId(this.leases.size() + 1L);
		this.leases.put(lease, now.plusMillis(millis));
		return new LeaseOutcome.Granted(lease);
	}

	LeaseOutcome renew(MonotonicTime now, LeaseId lease) {
		this.writes++;
		this.leases.put(lease, now.plusMillis(this.leaseMillis));
		return new LeaseOutcome.Granted(lease);
	}

	void expire(MonotonicTime now) {
		this.attached.entrySet().removeIf((entry) -> {
			boolean lapsed = !now.isBefore(this.leases.get(entry.getValue()));
			if (lapsed) {
				this.values.remove(entry.getKey());
			}
			return lapsed;
		});
	}

	MonotonicTime endOf(LeaseId lease) {
		return this.leases.get(lease);
	}

	long reads() {
		return this.reads;
	}

	/**
	 * Returns the number of writes.
	 * @return the writes since the counts were reset
	 */
	public long writes() {
		return this.writes;
	}

	long writtenBytes() {
		return this.writtenBytes;
	}

	void resetCounts() {
		this.reads = 0;
		this.writes = 0;
		this.writtenBytes = 0;
	}

}
