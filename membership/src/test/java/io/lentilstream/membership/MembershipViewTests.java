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
 * Guards against work and settings that are sent to peers which do not answer, and
 * against live peers that are left out.
 */
class MembershipViewTests {

	private static final AvailabilityZoneId ZONE = new AvailabilityZoneId("zone-a");

	private static final AvailabilityZoneId OTHER = new AvailabilityZoneId("zone-b");

	private static final VmId PEER = new VmId("entry-2");

	private static final ShardId SHARD = new ShardId("zone-a", 1);

	private static final ServiceRef BREAD = new ServiceRef(new TeamId("bakery"), new ServiceName("bread"));

	@ParameterizedTest
	@MethodSource("faults")
	void derivesTheState(String fault, Consumer<Peer> course, PeerState expected) {
		Peer peer = new Peer();
		course.accept(peer);
		assertThat(peer.state()).as(fault).isEqualTo(expected);
		boolean live = expected == PeerState.LIVE;
		assertThat(peer.view.liveEntryVms(ZONE).contains(PEER)).isEqualTo(live);
		assertThat(peer.view.ownerOf(SHARD)).isEqualTo(live ? Optional.of(PEER) : Optional.empty());
		assertThat(peer.view.freeSlots(BREAD)).isEqualTo(live ? Map.of(PEER, 5) : Map.of());
	}

	static Stream<Arguments> faults() {
		return Stream.of(row("is not reached yet", (peer) -> peer.silence(2), PeerState.CONNECTING),
				row("answers", (peer) -> peer.start().beats(3), PeerState.LIVE),
				row("stops answering for 2 s", (peer) -> peer.start().beats(3).silence(2), PeerState.LIVE),
				row("stops answering for 4 s", (peer) -> peer.start().beats(3).silence(4), PeerState.SUSPECT),
				row("stops answering for 11 s", (peer) -> peer.start().beats(3).silence(11), PeerState.GONE),
				row("answers again", (peer) -> peer.start().beats(3).silence(11).beats(2), PeerState.LIVE),
				row("loses its link", (peer) -> peer.start().beats(3).linkDown(), PeerState.SUSPECT),
				row("does not hear us", (peer) -> peer.start().beats(3).deafBeats(5), PeerState.SUSPECT),
				row("never heard us", (peer) -> peer.start().deafBeats(5), PeerState.SUSPECT),
				row("hears us again", (peer) -> peer.start().beats(3).deafBeats(5).beats(2), PeerState.LIVE),
				row("flaps, first heartbeat", (peer) -> peer.start().beats(3).flap().flap().silence(4).beats(1),
						PeerState.SUSPECT),
				row("flaps, seven heartbeats", (peer) -> peer.start().beats(3).flap().flap().silence(4).beats(7),
						PeerState.SUSPECT),
				row("flaps, eight heartbeats", (peer) -> peer.start().beats(3).flap().flap().silence(4).beats(8),
						PeerState.LIVE),
				row("flapped long ago", (peer) -> peer.start().beats(3).flap().flap().flap().beats(70).flap().beats(2),
						PeerState.LIVE),
				row("restarts, first heartbeat", (peer) -> peer.start().beats(3).linkDown().restart().beats(1),
						PeerState.SUSPECT),
				row("restarts, second heartbeat", (peer) -> peer.start().beats(3).linkDown().restart().beats(2),
						PeerState.LIVE),
				row("sends frames of its earlier run",
						(peer) -> peer.start().beats(3).linkDown().restart().beats(1).silence(4).staleBeats(3),
						PeerState.SUSPECT),
				row("repeats an old heartbeat", (peer) -> peer.start().beats(3).silence(4).repeatedBeats(3),
						PeerState.SUSPECT),
				row("is listed as live but never answered", (peer) -> peer.listed(VmEntry.Status.LIVE).silence(11),
						PeerState.GONE),
				row("is listed as live after its death",
						(peer) -> peer.listed(VmEntry.Status.LIVE).start().beats(3).linkDown().silence(11),
						PeerState.GONE),
				row("is forgotten after its death and then listed as live",
						(peer) -> peer.start().beats(3).linkDown().silence(11).listed(VmEntry.Status.LIVE),
						PeerState.CONNECTING),
				row("is listed as live long after its death",
						(peer) -> peer.start().beats(3).linkDown().silence(11).listed(VmEntry.Status.LIVE).silence(11),
						PeerState.GONE),
				row("is listed as leaving", (peer) -> peer.start().beats(3).listed(VmEntry.Status.LEAVING),
						PeerState.LEAVING),
				row("says goodbye", (peer) -> peer.start().beats(3).goodbye(), PeerState.LEAVING),
				row("says goodbye and restarts", (peer) -> peer.start().beats(3).goodbye().restart().beats(1),
						PeerState.LIVE));
	}

	@Test
	void forgetsAGonePeerOnlyWhenNobodyNamesIt() {
		Peer peer = new Peer();
		peer.listed(VmEntry.Status.LIVE).start().beats(3).linkDown().silence(20);
		assertThat(peer.view.isKnown(PEER)).isTrue();
		peer.unlisted();
		assertThat(peer.view.isKnown(PEER)).isFalse();
		assertThat(peer.actions).contains(new MembershipAction.Disconnect(PEER));
		Peer configured = new Peer();
		configured.view.addConfiguredPeers(configured.now, List.of(new PeerAddress(PEER, ZONE, "10.0.0.2:7000")));
		configured.silence(20).unlisted();
		assertThat(configured.view.isKnown(PEER)).isTrue();
	}

	@Test
	void reportsARestartUnderTheSameAddress() {
		Peer peer = new Peer();
		peer.start().beats(3).restart();
		assertThat(peer.actions).contains(new MembershipAction.PeerRestarted(PEER, 2));
	}

	@Test
	void choosesTheLowestTwoLiveIdsAsWatchers() {
		Peer peer = new Peer();
		assertThat(peer.view.watchers(ZONE)).containsExactly(new VmId("entry-1"));
		peer.start().beats(3);
		assertThat(peer.view.watchers(ZONE)).containsExactly(new VmId("entry-1"), PEER);
		peer.linkDown();
		assertThat(peer.view.watchers(ZONE)).containsExactly(new VmId("entry-1"));
		peer.view.leave();
		assertThat(peer.view.watchers(ZONE)).isEmpty();
	}

	@Test
	void sendsFewerHeartbeatsToOtherZones() {
		Peer peer = new Peer();
		peer.start();
		peer.view.linkUp(peer.now, new LocalPeer(new VmId("entry-9"), OTHER, 1));
		peer.actions.clear();
		peer.silence(30);
		assertThat(peer.sentTo(PEER)).hasSize(30);
		assertThat(peer.sentTo(new VmId("entry-9"))).hasSize(6);
	}

	@Test
	void reportsAllServicesInTurnAndEmptyOnesFirst() {
		FreeSlotsSelector round = new FreeSlotsSelector(4);
		Map<ServiceRef, Integer> free = new HashMap<>();
		for (int i = 0; i < 40; i++) {
			free.put(service(i), 8);
		}
		Map<ServiceRef, Integer> told = new HashMap<>();
		for (int i = 0; i < 10; i++) {
			told.putAll(round.next(free));
		}
		assertThat(told).isEqualTo(free);
		free.replaceAll((service, slots) -> 7);
		free.remove(service(33));
		assertThat(round.next(free)).hasSize(4).containsEntry(service(33), 0);
	}

	private static ServiceRef service(int number) {
		return new ServiceRef(new TeamId("team" + number), new ServiceName("s"));
	}

	private static Arguments row(String fault, Consumer<Peer> course, PeerState expected) {
		return Arguments.of(fault, course, expected);
	}

	/**
	 * Plays one peer against a view, one second per step.
	 */
	private static final class Peer {

		private final MembershipView view = new MembershipView(new LocalPeer(new VmId("entry-1"), ZONE, 1),
				MembershipTiming.defaults());

		private final List<MembershipAction> actions = new ArrayList<>();

		private MonotonicTime now = MonotonicTime.ofMillis(1_000);

		private long incarnation = 1;

		private long sequence;

		private long heard;

		private Peer start() {
			this.actions.addAll(this.view.linkUp(this.now, new LocalPeer(PEER, ZONE, this.incarnation)));
			return this;
		}

		private Peer beats(int count) {
			for (int i = 0; i < count; i++) {
				second();
				beat(this.incarnation, ++this.sequence, this.heard);
			}
			return this;
		}

		private Peer deafBeats(int count) {
			long before = this.heard;
			for (int i = 0; i < count; i++) {
				second();
				beat(this.incarnation, ++this.sequence, before);
			}
			return this;
		}

		private Peer staleBeats(int count) {
			for (int i = 0; i < count; i++) {
				second();
				beat(this.incarnation - 1, 1_000 + i, this.heard);
			}
			return this;
		}

		private Peer repeatedBeats(int count) {
			for (int i = 0; i < count; i++) {
				second();
				beat(this.incarnation, this.sequence, this.heard);
			}
			return this;
		}

		private Peer flap() {
			return silence(4).beats(9);
		}

		private Peer silence(int seconds) {
			for (int i = 0; i < seconds; i++) {
				second();
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
			return start();
		}

		private Peer goodbye() {
			this.actions.addAll(this.view.goodbyeReceived(this.now, PEER, new Goodbye(this.incarnation)));
			return this;
		}

		private Peer listed(VmEntry.Status status) {
			this.actions.addAll(this.view.applyPlatformList(this.now, ZONE,
					List.of(new VmEntry(PEER, VmEntry.Role.ENTRY, status, ZONE, new RackId("rack-1"), "10.0.0.2:7000",
							Resources.NONE, Optional.empty(), Optional.empty(), 0, 0))));
			return this;
		}

		private Peer unlisted() {
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

		private void second() {
			this.now = this.now.plusMillis(1_000);
			List<MembershipAction> ticked = this.view.tick(this.now,
					new LocalState(true, SettingsDigest.EMPTY, Map.of(), Map.of()));
			this.actions.addAll(ticked);
			for (Heartbeat heartbeat : sentTo(PEER)) {
				this.heard = Math.max(this.heard, heartbeat.sequence());
			}
		}

		private void beat(long run, long number, long lastSeen) {
			this.actions.addAll(this.view.heartbeatReceived(this.now, PEER, new Heartbeat(run, number, lastSeen, false,
					true, SettingsDigest.EMPTY, Map.of(BREAD, 5), Map.of(SHARD, new Epoch(1)))));
		}

	}

}
