package io.lentilstream.benchmarks.slopes;

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

/**
 * Is a store in memory that counts its calls. Leases never lapse, since no process of a
 * measurement stops.
 */
final class MemoryStore {

	private final Map<StoreKey, StoredValue> values = new TreeMap<>();

	private long leases;

	private long reads;

	private long writes;

	private long writtenBytes;

	private long readBytes;

	WriteOutcome write(StoreWrite write) {
		this.writes++;
		StoredValue current = this.values.get(write.key());
		long version = (current != null) ? current.version() : StoreWrite.ABSENT;
		if (version != write.expectedVersion()) {
			return new WriteOutcome.Conflict(Optional.ofNullable(current));
		}
		byte[] value = write.value().orElseThrow();
		this.writtenBytes += value.length;
		this.values.put(write.key(), new StoredValue(write.key(), value, version + 1));
		return new WriteOutcome.Written(version + 1);
	}

	ReadOutcome read(StoreKey key) {
		this.reads++;
		Optional<StoredValue> value = Optional.ofNullable(this.values.get(key));
		value.ifPresent((found) -> this.readBytes += found.value().length);
		return new ReadOutcome.Read(value);
	}

	ListOutcome list(StoreKey prefix) {
		this.reads++;
		List<StoredValue> found = this.values.values()
			.stream()
			.filter((value) -> value.key().path().startsWith(prefix.path()))
			.toList();
		found.forEach((value) -> this.readBytes += value.value().length);
		return new ListOutcome.Listed(found, this.writes);
	}

	LeaseOutcome grant() {
		this.writes++;
		return new LeaseOutcome.Granted(new LeaseId(++this.leases));
	}

	LeaseOutcome renew(LeaseId lease) {
		this.writes++;
		return new LeaseOutcome.Granted(lease);
	}

	long reads() {
		return this.reads;
	}

	long writes() {
		return this.writes;
	}

	long writtenBytes() {
		return this.writtenBytes;
	}

	long readBytes() {
		return this.readBytes;
	}

}
