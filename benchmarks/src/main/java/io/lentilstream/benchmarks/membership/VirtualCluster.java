package io.lentilstream.benchmarks.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

import io.lentilstream.administration.ChangeId;
import io.lentilstream.administration.ChangeRecord;
import io.lentilstream.administration.DocumentCodec;
import io.lentilstream.administration.StoredDocument;
import io.lentilstream.clients.StoreKey;
import io.lentilstream.membership.SettingsDocument;
import io.lentilstream.model.AvailabilityZoneId;
import io.lentilstream.model.Revision;
import io.lentilstream.model.ServiceName;
import io.lentilstream.model.TeamId;
import io.lentilstream.model.VmId;
import io.lentilstream.wire.LocalPeer;
import io.lentilstream.wire.PeerMessage;
import io.lentilstream.wire.ServiceRef;

/**
 * Is a set of entry VMs over several zones with a store and a network in virtual time.
 */
final class VirtualCluster {

	/**
	 * Number of teams at the design size, each with a document.
	 */
	static final int TEAMS = 340;

	private static final int ZONE_DELAY_MICROS = 1_000;

	private final VirtualTime time = new VirtualTime();

	private final Map<VmId, VirtualEntry> entries = new TreeMap<>();

	private final Map<StoreKey, StoredDocument> documents = new HashMap<>();

	private final Map<StoreKey, List<Pending>> pending = new HashMap<>();

	private final List<Double> seconds = new ArrayList<>();

	private final Random random;

	private final VirtualStore store;

	private final int otherZoneDelayMicros;

	VirtualCluster(long seed, int zones, int entriesPerZone, int services, int otherZoneDelayMicros) {
		this.random = new Random(seed);
		this.otherZoneDelayMicros = otherZoneDelayMicros;
		this.store = new VirtualStore(this.time, this.random);
		for (int i = 0; i < TEAMS; i++) {
			accept(team(i));
		}
		this.pending.clear();
		List<ServiceRef> offered = new ArrayList<>();
		for (int i = 0; i < services; i++) {
			offered.add(new ServiceRef(new TeamId("team-" + i), new ServiceName("collection")));
		}
		for (int zone = 0; zone < zones; zone++) {
			AvailabilityZoneId id = new AvailabilityZoneId("zone-" + zone);
			for (int i = 0; i < entriesPerZone; i++) {
				VmId vm = new VmId("entry-" + zone + "-" + i);
				this.entries.put(vm, new VirtualEntry(new LocalPeer(vm, id, 1_700_000_000_000L), this,
						new Random(this.random.nextLong()), offered));
			}
		}
		for (VirtualEntry entry : this.entries.values()) {
			this.entries.values().stream().filter((peer) -> peer != entry).forEach(entry::linkUp);
			this.time.after(this.random.nextInt(1_000_000), entry::tick);
		}
	}

	VirtualTime time() {
		return this.time;
	}

	VirtualStore store() {
		return this.store;
	}

	Iterable<VirtualEntry> entries() {
		return this.entries.values();
	}

	int size() {
		return this.entries.size();
	}

	StoreKey team(int index) {
		return new StoreKey("/teams/team-" + index);
	}

	StoreKey randomTeam() {
		return team(this.random.nextInt(TEAMS));
	}

	double uniform() {
		return this.random.nextDouble();
	}

	/**
	 * Accepts a change of a document with three services and three kinds.
	 * @param key the key of the document
	 */
	void accept(StoreKey key) {
		String path = key.path();
		StoredDocument before = this.documents.getOrDefault(key, StoredDocument.ABSENT);
		Revision revision = before.revision().next();
		TreeMap<String, String> values = new TreeMap<>();
		for (String name : List.of("collection", "payments", "ledger")) {
			String service = path + "/services/" + name + "/";
			values.put(service + "timeout", (1 + revision.value() % 60) + "s");
			values.put(service + "expected-time", "40ms");
			values.put(service + "queue-limit", "500");
			values.put(service + "spill", "true");
			values.put(path + "/kinds/" + name + "/service", name);
			values.put(path + "/kinds/" + name + "/keep-time", "7d");
		}
		values.put(path + "/quota/cores", "128");
		values.put(path + "/quota/slots", "64");
		List<ChangeRecord> changes = new ArrayList<>(before.changes());
		String timeout = path + "/services/collection/timeout";
		changes.add(new ChangeRecord(ChangeId.create(path, this.random).orElseThrow(), revision, "operator",
				"longer answers at peak demand", 1_700_000_000_000L,
				Map.of(timeout, new ChangeRecord.Edit(Optional.ofNullable(before.values().get(timeout)),
						Optional.of(values.get(timeout))))));
		StoredDocument document = new StoredDocument(revision, values, changes);
		this.documents.put(key, document);
		this.pending.computeIfAbsent(key, (added) -> new ArrayList<>())
			.add(new Pending(revision, this.time.nowMicros(), new HashSet<>()));
		this.store.put(key, DocumentCodec.encode(path, document));
	}

	void applied(VirtualEntry entry, SettingsDocument document) {
		List<Pending> waiting = this.pending.getOrDefault(document.key(), List.of());
		for (Pending change : List.copyOf(waiting)) {
			if (document.revision().compareTo(change.revision()) >= 0 && change.done().add(entry.vm())
					&& change.done().size() == size()) {
				this.seconds.add((this.time.nowMicros() - change.acceptedMicros()) / 1e6);
				waiting.remove(change);
			}
		}
	}

	/**
	 * Returns the times from acceptance to in force at the last entry VM since the last
	 * call.
	 * @return the times in seconds, in ascending order
	 */
	List<Double> takeTimes() {
		List<Double> taken = new ArrayList<>(this.seconds);
		this.seconds.clear();
		taken.sort(null);
		return taken;
	}

	long openChanges() {
		return this.pending.values().stream().mapToInt(List::size).sum();
	}

	void deliver(VirtualEntry from, VmId to, PeerMessage message, int bytes) {
		VirtualEntry receiver = this.entries.get(to);
		boolean sameZone = from.zone().equals(receiver.zone());
		int limit = sameZone ? ZONE_DELAY_MICROS : this.otherZoneDelayMicros;
		long delay = limit / 2 + this.random.nextInt(limit);
		this.time.after(delay, () -> receiver.receive(from.vm(), message, bytes));
	}

	private record Pending(Revision revision, long acceptedMicros, Set<VmId> done) {
	}

}
