package io.lentilstream.benchmarks.slopes;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

import io.lentilstream.clients.ListOutcome;
import io.lentilstream.clients.WatchOutcome;
import io.lentilstream.entry.settings.SettingsInForce;
import io.lentilstream.membership.LocalState;
import io.lentilstream.membership.MembershipAction;
import io.lentilstream.membership.MembershipTiming;
import io.lentilstream.membership.MembershipView;
import io.lentilstream.membership.PeerAddress;
import io.lentilstream.membership.SettingsReplica;
import io.lentilstream.model.AvailabilityZoneId;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.VmId;
import io.lentilstream.wire.LocalPeer;
import io.lentilstream.wire.PeerMessage;

/**
 * Measures the store calls per second of the settings replicas at rest by the number of
 * entry VMs, in virtual time. A waiting watch counts as one call.
 */
final class SettingsReplicaSlope implements SlopeMeasurement {

	private static final long STEP_MILLIS = 100;

	private static final int SETTLE_SECONDS = 60;

	private static final int VMS_PER_ZONE = 7;

	private final int[] entryVms;

	private final int seconds;

	SettingsReplicaSlope(int[] entryVms, int seconds) {
		this.entryVms = entryVms;
		this.seconds = seconds;
	}

	@Override
	public List<Slope> measure() {
		List<SlopePoint> calls = new ArrayList<>();
		for (int count : this.entryVms) {
			Cluster cluster = new Cluster(count);
			cluster.run(SETTLE_SECONDS);
			long before = cluster.calls;
			cluster.run(this.seconds);
			calls.add(new SlopePoint(count, (double) (cluster.calls - before) / this.seconds));
		}
		return List.of(Slope.of("settings-reads", "store reads/s", "entry VMs", calls));
	}

	/**
	 * Is a number of entry VMs with a store that never changes.
	 */
	private static final class Cluster {

		private final Map<VmId, Node> nodes = new TreeMap<>();

		private MonotonicTime now = MonotonicTime.ofMillis(1);

		private long calls;

		Cluster(int count) {
			for (int i = 0; i < count; i++) {
				Node node = new Node(new LocalPeer(new VmId("entry-%02d".formatted(i)),
						new AvailabilityZoneId("zone-" + i / VMS_PER_ZONE), 1));
				this.nodes.put(node.self.vm(), node);
			}
			this.nodes.values().forEach(Node::connect);
		}

		void run(int duration) {
			for (long i = 0; i < duration * 1_000L / STEP_MILLIS; i++) {
				this.now = this.now.plusMillis(STEP_MILLIS);
				this.nodes.values().forEach(Node::tick);
			}
		}

		/**
		 * Is one entry VM.
		 */
		private final class Node {

			private final LocalPeer self;

			private final MembershipView view;

			private final SettingsReplica replica;

			private final List<Waiting> waiting = new ArrayList<>();

			Node(LocalPeer self) {
				this.self = self;
				this.view = new MembershipView(self, MembershipTiming.defaults());
				this.replica = new SettingsReplica(self, MembershipTiming.defaults(), SettingsInForce.documentParser(),
						this.view, new SplittableRandom(self.vm().hashCode()));
			}

			void connect() {
				List<PeerAddress> addresses = new ArrayList<>();
				for (Node node : Cluster.this.nodes.values()) {
					addresses.add(new PeerAddress(node.self.vm(), node.self.zone(), "127.0.0.1:1"));
				}
				this.view.addConfiguredPeers(Cluster.this.now, addresses);
				for (Node node : Cluster.this.nodes.values()) {
					if (node != this) {
						this.view.linkUp(Cluster.this.now, node.self);
					}
				}
			}

			void tick() {
				for (Waiting call : List.copyOf(this.waiting)) {
					if (!Cluster.this.now.isBefore(call.end())) {
						this.waiting.remove(call);
						act(this.replica.watchCompleted(Cluster.this.now, call.watch(),
								new WatchOutcome.Changes(List.of(), List.of(), call.watch().afterRevision())));
					}
				}
				act(this.replica.tick(Cluster.this.now));
				act(this.view.tick(Cluster.this.now,
						new LocalState(this.replica.isReady(), this.replica.digest(), Map.of(), Map.of())));
			}

			private void act(List<MembershipAction> actions) {
				for (MembershipAction action : actions) {
					if (action instanceof MembershipAction.Send send) {
						Cluster.this.nodes.get(send.to()).receive(this.self.vm(), send.message());
					}
					else if (action instanceof MembershipAction.ListStore list) {
						Cluster.this.calls++;
						act(this.replica.listCompleted(Cluster.this.now, list, new ListOutcome.Listed(List.of(), 1)));
					}
					else if (action instanceof MembershipAction.WatchStore watch) {
						Cluster.this.calls++;
						this.waiting.add(new Waiting(watch, Cluster.this.now.plus(watch.maxWait())));
					}
				}
			}

			private void receive(VmId from, PeerMessage message) {
				if (message instanceof PeerMessage.Heartbeat heartbeat) {
					act(this.view.heartbeatReceived(Cluster.this.now, from, heartbeat));
					act(this.replica.heartbeatReceived(Cluster.this.now, from, heartbeat));
				}
				else if (message instanceof PeerMessage.FetchDocuments fetch) {
					act(this.replica.fetchReceived(Cluster.this.now, from, fetch));
				}
			}

		}

	}

	private record Waiting(MembershipAction.WatchStore watch, MonotonicTime end) {
	}

}
