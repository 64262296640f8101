package io.lentilstream.shards;

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
 * An in-memory store with leases. Times are given by the clock of the store.
 */
public final class FakeStore {

	private final TreeMap<String, StoredValue> values = new TreeMap<>();

	private final Map<String, Long> versions = new HashMap<>();

	private final Map<String, LeaseId> leaseByPath = new HashMap<>();

	private final Map<LeaseId, MonotonicTime> leases = new HashMap<>();

	private final Map<LeaseId, Long> leaseMillis = new HashMap<>();

	private long nextLease = 1;

	public WriteOutcome write(StoreWrite write) {
		String path = write.key().path();
		StoredValue current = this.values.get(path);
		long version = (current != null) ? current.version() : StoreWrite.ABSENT;
		if (version != write.expectedVersion()) {
			return new WriteOutcome.Conflict(Optional.ofNullable(current));
		}
		if (write.lease().isPresent() && !this.leases.containsKey(write.lease().get())) {
			return new WriteOutcome.NotWritten("no such lease");
		}
		long next = this.versions.merge(path, 1L, Long::sum);
		this.values.put(path, new StoredValue(write.key(), write.value().orElseThrow(), next));
		this.leaseByPath.remove(path);
		write.lease().ifPresent((lease) -> this.leaseByPath.put(path, lease));
		return new WriteOutcome.Written(next);
	}

	public ReadOutcome read(StoreKey key) {
		return new ReadOutcome.Read(Optional.ofNullable(this.values.get(key.path())));
	}

	public ListOutcome list(StoreKey prefix) {
		List<StoredValue> found = new ArrayList<>();
		for (StoredValue value : this.values.tailMap(prefix.path()).values()) {
			if (!value.key().path().startsWith(prefix.path())) {
				break;
			}
			found.add(value);
		}
		return new ListOutcome.Listed(found, 0);
	}

	public LeaseOutcome grant(MonotonicTime now, long millis) {
		LeaseId lease = new LeaseId(this.nextLease++);
		this.leases.put(lease, now.plusMillis(millis));
		this.leaseMillis.put(lease, millis);
		return new LeaseOutcome.Granted(lease);
	}

	public LeaseOutcome renew(MonotonicTime now, LeaseId lease) {
		expire(now);
		if (!this.leases.containsKey(lease)) {
			return new LeaseOutcome.Lapsed();
		}
		this.leases.put(lease, now.plusMillis(this.leaseMillis.get(lease)));
		return new LeaseOutcome.Granted(lease);
	}

	public LeaseOutcome revoke(LeaseId lease) {
		this.leases.remove(lease);
		deleteKeysWithoutLease();
		return new LeaseOutcome.Granted(lease);
	}

	public void expire(MonotonicTime now) {
		if (this.leases.values().removeIf((end) -> !now.isBefore(end))) {
			deleteKeysWithoutLease();
		}
	}

	private void deleteKeysWithoutLease() {
		this.leaseByPath.entrySet().removeIf((entry) -> {
			boolean lapsed = !this.leases.containsKey(entry.getValue());
			if (lapsed) {
				this.values.remove(entry.getKey());
			}
			return lapsed;
		});
	}

}
