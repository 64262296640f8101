package io.lentilstream.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import io.lentilstream.clients.VmEntry;
import io.lentilstream.model.AvailabilityZoneId;
import io.lentilstream.model.Epoch;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.RackId;
import io.lentilstream.model.Resources;
import io.lentilstream.model.ServiceName;
import io.lentilstream.model.ShardId;
import io.lentilstream.model.TeamId;
import io.lentilstream.model.VmId;
import io.lentilstream.wire.LocalPeer;
import io.lentilstream.wire.PeerMessage.Goodbye;
import io.lentilstream.wire.PeerMessage.Heartbeat;
import io.lentilstream.wire.ServiceRef;
import io.lentilstream.wire.SettingsDigest;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests and settings that are sent to failed peers, and against live
 * peers that are considered failed.
 */
class MembershipViewTests {

	private static final AvailabilityZoneId ZONE = new AvailabilityZoneId("zone-a");

	private static final AvailabilityZoneId OTHER = new AvailabilityZoneId("zone-b");

	private static final VmId PEER = new VmId("entry-2");

	private static final ShardId SHARD = new ShardId("zone-a", 1);

	private static final ServiceRef BREAD = new ServiceRef(new TeamId("bakery"), new ServiceName("bread"));

	@ParameterizedTest
	@MethodSource("faults")
	void derivesThePeerState(String fault, Consumer<Peer> scenario, PeerState expected) {
		Peer peer = new Peer();
		scenario.accept(peer);
		assertThat(peer.state()).as(fault).isEqualTo(expected);
		boolean live = expected == PeerState.LIVE;
		assertThat(peer.view.liveEntryVms(ZONE).contains(PEER)).isEqualTo(live);
		assertThat(peer.view.ownerOf(SHARD)).isEqualTo(live ? Optional.of(PEER) : Optional.empty());
		assertThat(peer.view.freeSlots(BREAD)).isEqualTo(live ? Map.of(PEER, 5) : Map.of());
	}

	static Stream<Arguments> faults() {
		return Stream.of(row("has not connected yet", (peer) -> peer.silence(2), PeerState.CONNECTING),
				row("answers", (peer) -> peer.connect().heartbeats(3), PeerState.LIVE),
				row("is silent for 2 s", (peer) -> peer.connect().heartbeats(3).silence(2), PeerState.LIVE),
				row("is silent for 4 s", (peer) -> peer.connect().heartbeats(3).silence(4), PeerState.SUSPECT),
				row("is silent for 11 s", (peer) -> peer.connect().heartbeats(3).silence(11), PeerState.GONE),
				row("sends heartbeats again", (peer) -> peer.connect().heartbeats(3).silence(11).heartbeats(2),
						PeerState.LIVE),
				row("loses its link", (peer) -> peer.connect().heartbeats(3).linkDown(), PeerState.SUSPECT),
				row("stops acknowledging heartbeats",
						(peer) -> peer.connect().heartbeats(3).unacknowledgingHeartbeats(5), PeerState.SUSPECT),
				row("never acknowledged a heartbeat", (peer) -> peer.connect().unacknowledgingHeartbeats(5),
						PeerState.SUSPECT),
				row("acknowledges heartbeats again",
						(peer) -> peer.connect().heartbeats(3).unacknowledgingHeartbeats(5).heartbeats(2),
						PeerState.LIVE),
				row("flaps, first heartbeat",
						(peer) -> peer.connect().heartbeats(3).flap().flap().silence(4).heartbeats(1),
						PeerState.SUSPECT),
				row("flaps, seven heartbeats",
						(peer) -> peer.connect().heartbeats(3).flap().flap().silence(4).heartbeats(7),
						PeerState.SUSPECT),
				row("flaps, eight heartbeats",
						(peer) -> peer.connect().heartbeats(3).flap().flap().silence(4).heartbeats(8), PeerState.LIVE),
				row("flapped long ago",
						(peer) -> peer.connect().heartbeats(3).flap().flap().flap().heartbeats(70).flap().heartbeats(2),
						PeerState.LIVE),
				row("restarts, first heartbeat",
						(peer) -> peer.connect().heartbeats(3).linkDown().restart().heartbeats(1), PeerState.SUSPECT),
				row("restarts, second heartbeat",
						(peer) -> peer.connect().heartbeats(3).linkDown().restart().heartbeats(2), PeerState.LIVE),
				row("sends frames of its earlier process",
						(peer) -> peer.connect()
							.heartbeats(3)
							.linkDown()
							.restart()
							.heartbeats(1)
							.silence(4)
							.earlierProcessHeartbeats(3),
						PeerState.SUSPECT),
				row("repeats an old heartbeat", (peer) -> peer.connect().heartbeats(3).silence(4).repeatedHeartbeats(3),
						PeerState.SUSPECT),
				row("is listed as live but never connected", (peer) -> peer.list(VmEntry.Status.LIVE).silence(11),
						PeerState.GONE),
				row("is listed as live after it failed",
						(peer) -> peer.list(VmEntry.Status.LIVE).connect().heartbeats(3).linkDown().silence(11),
						PeerState.GONE),
				row("is removed after it failed and then listed as live",
						(peer) -> peer.connect().heartbeats(3).linkDown().silence(11).list(VmEntry.Status.LIVE),
						PeerState.CONNECTING),
				row("is listed as live long after it failed",
						(peer) -> peer.connect()
							.heartbeats(3)
							.linkDown()
							.silence(11)
							.list(VmEntry.Status.LIVE)
							.silence(11),
						PeerState.GONE),
				row("is listed as leaving", (peer) -> peer.connect().heartbeats(3).list(VmEntry.Status.LEAVING),
						PeerState.LEAVING),
				row("sends goodbye", (peer) -> peer.connect().heartbeats(3).sendGoodbye(), PeerState.LEAVING),
				row("sends goodbye and restarts",
						(peer) -> peer.connect().heartbeats(3).sendGoodbye().restart().heartbeats(1), PeerState.LIVE));
	}

	@Test
	void removesAGonePeerOnlyWhenItIsNeitherListedNorConfigured() {
		Peer peer = new Peer();
		peer.list(VmEntry.Status.LIVE).connect().heartbeats(3).linkDown().silence(20);
		assertThat(peer.view.isKnown(PEER)).isTrue();
		peer.removeFromList();
		assertThat(peer.view.isKnown(PEER)).isFalse();
		assertThat(peer.actions).contains(new MembershipAction.Disconnect(PEER));
		Peer configured = new Peer();
		configured.view.addConfiguredPeers(configured.now, List.of(new PeerAddress(PEER, ZONE, "10.0.0.2:7000")));
		configured.silence(20).removeFromList();
		assertThat(configured.view.isKnown(PEER)).isTrue();
	}

	@Test
	void reportsARestartAtTheSameAddress() {
		Peer peer = new Peer();
		peer.connect().heartbeats(3).restart();
		assertThat(peer.actions).contains(new MembershipAction.PeerRestarted(PEER, 2));
	}

	@Test
	void choosesTheLowestTwoLiveIdsAsWatchers() {
		Peer peer = new Peer();
		assertThat(peer.view.watchers(ZONE)).containsExactly(new VmId("entry-1"));
		peer.connect().heartbeats(3);
		assertThat(peer.view.watchers(ZONE)).containsExactly(new VmId("entry-1"), PEER);
		peer.linkDown();
		assertThat(peer.view.watchers(ZONE)).containsExactly(new VmId("entry-1"));
		peer.view.leave();
		assertThat(peer.view.watchers(ZONE)).isEmpty();
	}

	@Test
	void sendsFewerHeartbeatsToOtherZones() {
		Peer peer = new Peer();
		peer.connect();
		peer.view.linkUp(peer.now, new LocalPeer(new VmId("entry-9"), OTHER, 1));
		peer.actions.clear();
		peer.silence(30);
		assertThat(peer.sentTo(PEER)).hasSize(30);
		assertThat(peer.sentTo(new VmId("entry-9"))).hasSize(6);
	}

	@Test
	void reportsEveryServiceInTurnAndThoseWithoutFreeSlotsFirst() {
		FreeSlotsSelector selector = new FreeSlotsSelector(4);
		Map<ServiceRef, Integer> free = new HashMap<>();
		for (int i = 0; i < 40; i++) {
			free.put(service(i), 8);
		}
		Map<ServiceRef, Integer> reported = new HashMap<>();
		for (int i = 0; i < 10; i++) {
			reported.putAll(selector.selectNext(free));
		}
		assertThat(reported).isEqualTo(free);
		free.replaceAll((service, slots) -> 7);
		free.remove(service(33));
		assertThat(selector.selectNext(free)).hasSize(4).containsEntry(service(33), 0);
	}

	private static ServiceRef service(int number) {
		return new ServiceRef(new TeamId("team" + number), new ServiceName("s"));
	}

	private static Arguments row(String fault, Consumer<Peer> scenario, PeerState expected) {
		return Arguments.of(fault, scenario, expected);
	}

	/**
	 * Simulates one peer of a view, one second per step.
	 */
	private static final class Peer {

		private final MembershipView view = new MembershipView(new LocalPeer(new VmId("entry-1"), ZONE, 1),
				MembershipTiming.defaults());

		private final List<MembershipAction> actions = new ArrayList<>();

		private MonotonicTime now = MonotonicTime.ofMillis(1_000);

		private long incarnation = 1;

		private long sequence;

		private long lastSeenSequence;

		private Peer connect() {
			this.actions.addAll(this.view.linkUp(this.now, new LocalPeer(PEER, ZONE, this.incarnation)));
			return this;
		}

		private Peer heartbeats(int count) {
			for (int i = 0; i < count; i++) {
				advanceOneSecond();
				sendHeartbeat(this.incarnation, ++this.sequence, this.lastSeenSequence);
			}
			return this;
		}

		private Peer unacknowledgingHeartbeats(int count) {
			long lastAcknowledged = this.lastSeenSequence;
			for (int i = 0; i < count; i++) {
				advanceOneSecond();
				sendHeartbeat(this.incarnation, ++this.sequence, lastAcknowledged);
			}
			return this;
		}

		private Peer earlierProcessHeartbeats(int count) {
			for (int i = 0; i < count; i++) {
				advanceOneSecond();
				sendHeartbeat(this.incarnation - 1, 1_000 + i, this.lastSeenSequence);
			}
			return this;
		}

		private Peer repeatedHeartbeats(int count) {
			for (int i = 0; i < count; i++) {
				advanceOneSecond();
				sendHeartbeat(this.incarnation, this.sequence, this.lastSeenSequence);
			}
			return this;
		}

		private Peer flap() {
			return silence(4).heartbeats(9);
		}

		private Peer silence(int seconds) {
			for (int i = 0; i < seconds; i++) {
				advanceOneSecond();
			}
			return this;
		}

		private Peer linkDown() {
			this.actions.addAll(this.view.linkDown(this.now, PEER));
			return this;
		}

		private Peer restart() {
			this.incarnation++;
			this.sequence = 0;
			return connect();
		}

		private Peer sendGoodbye() {
			this.actions.addAll(this.view.goodbyeReceived(this.now, PEER, new Goodbye(this.incarnation)));
			return this;
		}

		private Peer list(VmEntry.Status status) {
			this.actions.addAll(this.view.applyPlatformList(this.now, ZONE,
					List.of(new VmEntry(PEER, VmEntry.Role.ENTRY, status, ZONE, new RackId("rack-1"), "10.0.0.2:7000",
							Resources.NONE, Optional.empty(), Optional.empty(), 0, 0))));
			return this;
		}

		private Peer removeFromList() {
			this.actions.addAll(this.view.applyPlatformList(this.now, ZONE, List.of()));
			return this;
		}

		private PeerState state() {
			return this.view.peer(PEER).map(PeerInfo::state).orElse(PeerState.CONNECTING);
		}

		private List<Heartbeat> sentTo(VmId vm) {
			return this.actions.stream()
				.filter((action) -> action instanceof MembershipAction.Send send && send.to().equals(vm))
				.map((action) -> (Heartbeat) ((MembershipAction.Send) action).message())
				.toList();
		}

		private void advanceOneSecond() {
			this.now = this.now.plusMillis(1_000);
			List<MembershipAction> tickActions = this.view.tick(this.now,
					new LocalState(true, SettingsDigest.EMPTY, Map.of(), Map.of()));
			this.actions.addAll(tickActions);
			for (Heartbeat heartbeat : sentTo(PEER)) {
				this.lastSeenSequence = Math.max(this.lastSeenSequence, heartbeat.sequence());
			}
		}

		private void sendHeartbeat(long senderIncarnation, long number, long lastSeen) {
			this.actions.addAll(this.view.heartbeatReceived(this.now, PEER, new Heartbeat(senderIncarnation, number,
					lastSeen, false, true, SettingsDigest.EMPTY, Map.of(BREAD, 5), Map.of(SHARD, new Epoch(1)))));
		}

	}

}
