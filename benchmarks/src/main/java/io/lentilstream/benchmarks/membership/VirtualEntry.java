package io.lentilstream.benchmarks.membership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

import io.lentilstream.administration.DocumentCodec;
import io.lentilstream.administration.DocumentOutcome;
import io.lentilstream.administration.StoredDocument;
import io.lentilstream.clients.StoreKey;
import io.lentilstream.membership.LocalState;
import io.lentilstream.membership.MembershipAction;
import io.lentilstream.membership.MembershipTiming;
import io.lentilstream.membership.MembershipView;
import io.lentilstream.membership.SettingsDocument;
import io.lentilstream.membership.SettingsReplica;
import io.lentilstream.model.AvailabilityZoneId;
import io.lentilstream.model.Epoch;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.ShardId;
import io.lentilstream.model.VmId;
import io.lentilstream.wire.EncodeOutcome;
import io.lentilstream.wire.FrameCodec;
import io.lentilstream.wire.LocalPeer;
import io.lentilstream.wire.PeerFrame;
import io.lentilstream.wire.PeerMessage;
import io.lentilstream.wire.PeerMessage.Bytes;
import io.lentilstream.wire.ServiceRef;
import io.lentilstream.wire.TrafficMeter;
import io.lentilstream.wire.WireDefaults;

/**
 * Is one entry VM of the benchmark with the real membership code. Messages are encoded
 * and decoded with the real codec.
 */
final class VirtualEntry {

	static final int TICK_MICROS = 100_000;

	private static final int SHARDS_PER_ENTRY = 2;

	private final LocalPeer self;

	private final VirtualCluster cluster;

	private final MembershipView view;

	private final SettingsReplica replica;

	private final TrafficMeter meter = new TrafficMeter();

	private final FrameCodec codec = new FrameCodec(WireDefaults.MAX_FRAME_BYTES);

	private final Map<ServiceRef, Integer> freeSlots = new HashMap<>();

	private final Map<ShardId, Epoch> shards = new HashMap<>();

	private final Random random;

	VirtualEntry(LocalPeer self, VirtualCluster cluster, Random random, List<ServiceRef> services) {
		this.self = self;
		this.cluster = cluster;
		this.random = random;
		this.view = new MembershipView(self, MembershipTiming.defaults());
		this.replica = new SettingsReplica(self, MembershipTiming.defaults(), VirtualEntry::read, this.view, random);
		services.forEach((service) -> this.freeSlots.put(service, 8));
		for (int i = 0; i < SHARDS_PER_ENTRY; i++) {
			this.shards.put(new ShardId(self.zone().value(), random.nextInt(8)), new Epoch(1 + random.nextInt(1000)));
		}
	}

	VmId vm() {
		return this.self.vm();
	}

	AvailabilityZoneId zone() {
		return this.self.zone();
	}

	LocalPeer self() {
		return this.self;
	}

	TrafficMeter meter() {
		return this.meter;
	}

	boolean isReady() {
		return this.replica.isReady();
	}

	void linkUp(VirtualEntry peer) {
		act(this.view.linkUp(now(), peer.self()));
	}

	void tick() {
		// A tenth of the services change their free slots between two heartbeats.
		this.freeSlots.replaceAll((service, slots) -> (this.random.nextInt(100) == 0) ? this.random.nextInt(9) : slots);
		act(this.replica.tick(now()));
		act(this.view.tick(now(),
				new LocalState(this.replica.isReady(), this.replica.digest(), this.freeSlots, this.shards)));
		this.cluster.time().after(TICK_MICROS, this::tick);
	}

	private void act(List<MembershipAction> actions) {
		for (MembershipAction action : actions) {
			if (action instanceof MembershipAction.Send send) {
				send(send);
			}
			else if (action instanceof MembershipAction.ListStore list) {
				this.cluster.store().list(list, (outcome) -> act(this.replica.listCompleted(now(), list, outcome)));
			}
			else if (action instanceof MembershipAction.WatchStore watch) {
				this.cluster.store().watch(watch, (outcome) -> act(this.replica.watchCompleted(now(), watch, outcome)));
			}
			else if (action instanceof MembershipAction.DocumentApplied applied) {
				this.cluster.applied(this, applied.document());
			}
		}
	}

	private void send(MembershipAction.Send send) {
		PeerFrame frame = PeerFrame.of(send.message());
		byte[] bytes = ((EncodeOutcome.Encoded) this.codec.encode(frame)).bytes();
		this.meter.sent(send.message().kind(), bytes.length);
		this.cluster.deliver(this, send.to(), send.message(), bytes.length);
	}

	void receive(VmId from, PeerMessage message, int bytes) {
		this.meter.received(message.kind(), bytes);
		if (message instanceof PeerMessage.Heartbeat heartbeat) {
			act(this.view.heartbeatReceived(now(), from, heartbeat));
			act(this.replica.heartbeatReceived(now(), from, heartbeat));
		}
		else if (message instanceof PeerMessage.Document document) {
			act(this.replica.documentReceived(now(), from, document));
		}
		else if (message instanceof PeerMessage.FetchDocuments fetch) {
			act(this.replica.fetchReceived(now(), from, fetch));
		}
	}

	private MonotonicTime now() {
		return new MonotonicTime(this.cluster.time().nowMicros() * 1_000);
	}

	private static Optional<SettingsDocument> read(StoreKey key, byte[] value) {
		if (!(DocumentCodec.decode(key.path(), value) instanceof DocumentOutcome.Decoded decoded)) {
			return Optional.empty();
		}
		StoredDocument document = decoded.document();
		Bytes content = new Bytes(DocumentCodec.encodeWithoutHistory(key.path(), document));
		return Optional.of(new SettingsDocument(key, document.revision(), content));
	}

}
