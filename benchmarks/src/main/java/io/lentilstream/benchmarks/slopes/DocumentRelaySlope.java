package io.lentilstream.benchmarks.slopes;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.IntUnaryOperator;

import io.lentilstream.administration.DocumentCodec;
import io.lentilstream.administration.StoredDocument;
import io.lentilstream.clients.ListOutcome;
import io.lentilstream.clients.StoreKey;
import io.lentilstream.clients.StoredValue;
import io.lentilstream.clients.WatchOutcome;
import io.lentilstream.entry.settings.SettingsInForce;
import io.lentilstream.membership.MembershipAction;
import io.lentilstream.membership.MembershipTiming;
import io.lentilstream.membership.SettingsReplica;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.Revision;

/**
 * Measures what one changed document costs the first watcher of a zone: reading it,
 * relaying it to the peers of the zone and telling the watchers of other zones.
 */
final class DocumentRelaySlope implements SlopeMeasurement {

	private static final String BYTES = "bytes per change";

	private static final String NANOS = "ns per change";

	private static final List<String> NAMES = List.of("expected-time", "hedge-after", "queue-time", "timeout");

	private static final String PATH = "/teams/bakery";

	private static final int ZONE_PEERS = 6;

	private static final int OTHER_PEERS = 84;

	private static final int SETTINGS = 60;

	private final int changes;

	private final int rounds;

	DocumentRelaySlope(int changes, int rounds) {
		this.changes = changes;
		this.rounds = rounds;
	}

	@Override
	public List<Slope> measure() {
		List<Slope> slopes = new ArrayList<>();
		add(slopes, "peers", "peers of the zone", new int[] { 1, 3, 6, 12 }, (size) -> size, (size) -> SETTINGS);
		add(slopes, "size", "bytes of the document", new int[] { 15, 60, 240, 960 }, (size) -> ZONE_PEERS,
				(size) -> size);
		return slopes;
	}

	private void add(List<Slope> slopes, String name, String sizeName, int[] sizes, IntUnaryOperator peers,
			IntUnaryOperator settings) {
		List<SlopePoint> bytes = new ArrayList<>();
		List<SlopePoint> nanos = new ArrayList<>();
		for (int size : sizes) {
			Relay relay = new Relay(peers.applyAsInt(size), settings.applyAsInt(size));
			double at = (peers.applyAsInt(size) == size) ? size : relay.document(1).value().length;
			long before = relay.mesh.sentBytes();
			relay.run(this.changes);
			bytes.add(new SlopePoint(at, (double) (relay.mesh.sentBytes() - before) / this.changes));
			nanos.add(new SlopePoint(at, CostMeter.median(this.rounds,
					() -> CostMeter.cpuNanos(() -> relay.run(this.changes)) / (double) this.changes)));
		}
		slopes.add(Slope.of("document-relay-bytes-by-" + name, BYTES, sizeName, bytes));
		slopes.add(Slope.of("document-relay-cpu-by-" + name, NANOS, sizeName, nanos));
	}

	/**
	 * Is the replica of the first watcher with its peers.
	 */
	private static final class Relay {

		private final PeerMesh mesh;

		private final SettingsReplica replica;

		private final SortedMap<String, String> values = new TreeMap<>();

		private MembershipAction.WatchStore watch;

		private MonotonicTime now;

		private long revision;

		Relay(int zonePeers, int settings) {
			this.mesh = new PeerMesh(zonePeers, OTHER_PEERS, 0, 0);
			this.now = this.mesh.now();
			this.replica = new SettingsReplica(PeerMesh.SELF, MembershipTiming.defaults(),
					SettingsInForce.documentParser(), this.mesh.view(), new SplittableRandom(1));
			// Equal values would compress better than those of a real team.
			SplittableRandom random = new SplittableRandom(1);
			for (int i = 0; i < settings; i++) {
				this.values.put(PATH + "/services/collection-" + i / NAMES.size() + "/" + NAMES.get(i % NAMES.size()),
						random.nextInt(1, 10_000) + "ms");
			}
			while (!this.replica.isReady() || this.watch == null) {
				tick();
			}
		}

		StoredValue document(long number) {
			StoredDocument document = new StoredDocument(new Revision(number), this.values, List.of());
			return new StoredValue(new StoreKey(PATH), DocumentCodec.encode(PATH, document), number);
		}

		void run(int changes) {
			for (int i = 0; i < changes; i++) {
				MembershipAction.WatchStore ended = this.watch;
				this.watch = null;
				StoredValue value = document(++this.revision);
				act(this.replica.watchCompleted(this.now, ended,
						new WatchOutcome.Changes(List.of(value), List.of(), this.revision)));
				while (this.watch == null) {
					tick();
				}
			}
		}

		private void tick() {
			this.now = this.now.plusMillis(100);
			act(this.replica.tick(this.now));
		}

		private void act(List<MembershipAction> actions) {
			for (MembershipAction action : actions) {
				if (action instanceof MembershipAction.Send send) {
					this.mesh.encode(send.message());
				}
				else if (action instanceof MembershipAction.ListStore list) {
					act(this.replica.listCompleted(this.now, list, new ListOutcome.Listed(List.of(), 0)));
				}
				else if (action instanceof MembershipAction.WatchStore call
						&& call.prefix().equals(SettingsReplica.TEAMS)) {
					this.watch = call;
				}
			}
		}

	}

}
