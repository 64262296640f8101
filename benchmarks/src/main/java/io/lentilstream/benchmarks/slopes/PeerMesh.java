package io.lentilstream.benchmarks.slopes;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.lentilstream.membership.LocalState;
import io.lentilstream.membership.MembershipAction;
import io.lentilstream.membership.MembershipTiming;
import io.lentilstream.membership.MembershipView;
import io.lentilstream.membership.PeerAddress;
import io.lentilstream.model.AvailabilityZoneId;
import io.lentilstream.model.Epoch;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.ServiceName;
import io.lentilstream.model.ShardId;
import io.lentilstream.model.TeamId;
import io.lentilstream.model.VmId;
import io.lentilstream.wire.DecodeOutcome;
import io.lentilstream.wire.EncodeOutcome;
import io.lentilstream.wire.FrameCodec;
import io.lentilstream.wire.LocalPeer;
import io.lentilstream.wire.PeerFrame;
import io.lentilstream.wire.PeerMessage;
import io.lentilstream.wire.ServiceRef;
import io.lentilstream.wire.SettingsDigest;
import io.lentilstream.wire.WireDefaults;

/**
 * Is one entry VM with live peers that answer each heartbeat with one of the same
 * content, in virtual time.
 */
final class PeerMesh {

	static final AvailabilityZoneId ZONE = new AvailabilityZoneId("zone-0");

	static final LocalPeer SELF = new LocalPeer(new VmId("entry-00-0"), ZONE, 1);

	static final int VMS_PER_ZONE = 7;

	// The interval at which the daemon calls the view.
	private static final long TICK_MILLIS = 50;

	private final FrameCodec codec = new FrameCodec(WireDefaults.MAX_FRAME_BYTES);

	private final MembershipView view = new MembershipView(SELF, MembershipTiming.defaults());

	private final Map<VmId, Long> sequences = new HashMap<>();

	private final LocalState local;

	private MonotonicTime now = MonotonicTime.ofMillis(1);

	private long sentBytes;

	private long sentFrames;

	private int tick;

	PeerMesh(int zonePeers, int otherPeers, int services, int shards) {
		Map<ServiceRef, Integer> freeSlots = new HashMap<>();
		for (int i = 0; i < services; i++) {
			freeSlots.put(new ServiceRef(new TeamId("team-" + i), new ServiceName("collection")), 1);
		}
		Map<ShardId, Epoch> owned = new HashMap<>();
		for (int i = 0; i < shards; i++) {
			owned.put(new ShardId(ZONE.value(), i), new Epoch(100 + i));
		}
		this.local = new LocalState(true, SettingsDigest.EMPTY, freeSlots, owned);
		List<PeerAddress> addresses = new ArrayList<>();
		for (int i = 1; i <= zonePeers; i++) {
			addresses.add(new PeerAddress(new VmId("entry-00-" + i), ZONE, "127.0.0.1:1"));
		}
		for (int i = 0; i < otherPeers; i++) {
			int zone = 1 + i / VMS_PER_ZONE;
			addresses.add(new PeerAddress(new VmId("entry-%02d-%d".formatted(zone, i % VMS_PER_ZONE)),
					new AvailabilityZoneId("zone-" + zone), "127.0.0.1:1"));
		}
		this.view.addConfiguredPeers(this.now, addresses);
		for (PeerAddress address : addresses) {
			this.view.linkUp(this.now, new LocalPeer(address.vm(), address.zone(), 1));
		}
		run(4);
		this.sentBytes = 0;
		this.sentFrames = 0;
	}

	/**
	 * Runs the heartbeats in both directions.
	 * @param seconds virtual seconds
	 */
	void run(int seconds) {
		for (long i = 0; i < seconds * 1_000L / TICK_MILLIS; i++) {
			this.now = this.now.plusMillis(TICK_MILLIS);
			// The free slots change all the time, as they do under load.
			int slots = 1 + this.tick++ % 100;
			Map<ServiceRef, Integer> freeSlots = new HashMap<>();
			this.local.freeSlots().keySet().forEach((service) -> freeSlots.put(service, slots));
			LocalState state = new LocalState(true, this.local.digest(), freeSlots, this.local.shards());
			for (MembershipAction action : this.view.tick(this.now, state)) {
				if (action instanceof MembershipAction.Send send
						&& send.message() instanceof PeerMessage.Heartbeat heartbeat) {
					answer(send.to(), heartbeat);
				}
			}
		}
	}

	private void answer(VmId peer, PeerMessage.Heartbeat sent) {
		byte[] frame = encode(sent);
		PeerMessage.Heartbeat received = (PeerMessage.Heartbeat) decode(frame);
		long sequence = this.sequences.merge(peer, 1L, Long::sum);
		this.view.heartbeatReceived(this.now, peer, new PeerMessage.Heartbeat(1, sequence, received.sequence(), false,
				true, received.digest(), received.freeSlots(), received.shards()));
	}

	byte[] encode(PeerMessage message) {
		byte[] frame = ((EncodeOutcome.Encoded) this.codec.encode(PeerFrame.of(message))).bytes();
		this.sentBytes += frame.length;
		this.sentFrames++;
		return frame;
	}

	PeerMessage decode(byte[] frame) {
		byte[] content = new byte[frame.length - FrameCodec.LENGTH_BYTES];
		System.arraycopy(frame, FrameCodec.LENGTH_BYTES, content, 0, content.length);
		return ((DecodeOutcome.Decoded) this.codec.decode(content)).frame().message();
	}

	MembershipView view() {
		return this.view;
	}

	MonotonicTime now() {
		return this.now;
	}

	long sentBytes() {
		return this.sentBytes;
	}

	long sentFrames() {
		return this.sentFrames;
	}

}
