package io.lentilstream.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import io.lentilstream.clients.VmEntry;
import io.lentilstream.membership.MembershipAction.Connect;
import io.lentilstream.membership.MembershipAction.Disconnect;
import io.lentilstream.membership.MembershipAction.PeerRestarted;
import io.lentilstream.membership.MembershipAction.PeerStateChanged;
import io.lentilstream.membership.MembershipAction.Send;
import io.lentilstream.model.AvailabilityZoneId;
import io.lentilstream.model.Epoch;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.ShardId;
import io.lentilstream.model.VmId;
import io.lentilstream.wire.LocalPeer;
import io.lentilstream.wire.PeerMessage.Goodbye;
import io.lentilstream.wire.PeerMessage.Heartbeat;
import io.lentilstream.wire.ServiceRef;

/**
 * Tracks the known peers and their states, and decides when heartbeats are sent. Only
 * heartbeats make a peer live; the process settings and the VM list of the platform only
 * make it known.
 */
public final class MembershipView {

	/**
	 * Number of entry VMs of a zone that watch the store.
	 */
	public static final int WATCHERS_PER_ZONE = 2;

	/**
	 * Maximum number of services in one heartbeat within a zone, which keeps a heartbeat
	 * below 1 KB.
	 */
	static final int MAX_ZONE_SERVICES = 16;

	/**
	 * Maximum number of services in one heartbeat between zones.
	 */
	static final int MAX_OTHER_ZONE_SERVICES = 4;

	private final LocalPeer self;

	private final MembershipTiming timing;

	private final Map<VmId, TrackedPeer> peers = new TreeMap<>();

	private final FreeSlotsSelector zoneSelector = new FreeSlotsSelector(MAX_ZONE_SERVICES);

	private final FreeSlotsSelector otherZoneSelector = new FreeSlotsSelector(MAX_OTHER_ZONE_SERVICES);

	private MonotonicTime nextZoneHeartbeat;

	private MonotonicTime nextOtherZoneHeartbeat;

	private boolean leaving;

	/**
	 * Creates a view without peers.
	 * @param self the identity of this process
	 * @param timing the intervals
	 */
	public MembershipView(LocalPeer self, MembershipTiming timing) {
		this.self = self;
		this.timing = timing;
	}

	/**
	 * Adds the peers from the process settings.
	 * @param now the time
	 * @param addresses the peers; this VM may be among them
	 * @return the actions
	 */
	public synchronized List<MembershipAction> addConfiguredPeers(MonotonicTime now, List<PeerAddress> addresses) {
		List<MembershipAction> actions = new ArrayList<>();
		for (PeerAddress address : addresses) {
			if (!address.vm().equals(this.self.vm())) {
				TrackedPeer peer = getOrAddPeer(address.vm(), address.zone(), now);
				peer.markConfigured();
				connect(peer, address.address(), actions);
			}
		}
		return actions;
	}

	/**
	 * Applies the list of a zone that the platform returned. The list lags, so it never
	 * makes a peer live, and the absence of a peer only permits the removal of one that
	 * is gone.
	 * @param now the time
	 * @param zone the zone that was listed
	 * @param entries the whole list; only entry VMs are used
	 * @return the actions
	 */
	public synchronized List<MembershipAction> applyPlatformList(MonotonicTime now, AvailabilityZoneId zone,
			List<VmEntry> entries) {
		List<MembershipAction> actions = new ArrayList<>();
		for (TrackedPeer peer : this.peers.values()) {
			if (peer.zone().equals(zone)) {
				peer.setListed(false, false);
			}
		}
		for (VmEntry entry : entries) {
			if (entry.role() == VmEntry.Role.ENTRY && !entry.vm().equals(this.self.vm())) {
				TrackedPeer peer = getOrAddPeer(entry.vm(), zone, now);
				peer.setListed(true, entry.status() == VmEntry.Status.LEAVING);
				// A configured address takes precedence over the lagging list.
				if (!peer.isConfigured()) {
					connect(peer, entry.address(), actions);
				}
			}
		}
		updateAll(now, actions);
		return actions;
	}

	/**
	 * Processes a new link.
	 * @param now the time
	 * @param peer the identity that the peer proved
	 * @return the actions
	 */
	public synchronized List<MembershipAction> linkUp(MonotonicTime now, LocalPeer peer) {
		List<MembershipAction> actions = new ArrayList<>();
		TrackedPeer tracked = getOrAddPeer(peer.vm(), peer.zone(), now);
		updateIncarnation(tracked, peer.incarnation(), now, actions);
		tracked.linkUp(now);
		(isInOwnZone(tracked) ? this.zoneSelector : this.otherZoneSelector).reset();
		update(tracked, now, actions);
		return actions;
	}

	/**
	 * Processes the end of a link.
	 * @param now the time
	 * @param vm the VM of the peer
	 * @return the actions
	 */
	public synchronized List<MembershipAction> linkDown(MonotonicTime now, VmId vm) {
		List<MembershipAction> actions = new ArrayList<>();
		TrackedPeer peer = this.peers.get(vm);
		if (peer != null) {
			peer.linkDown();
			update(peer, now, actions);
		}
		return actions;
	}

	/**
	 * Processes a heartbeat.
	 * @param now the time
	 * @param from the sender
	 * @param heartbeat the heartbeat
	 * @return the actions
	 */
	public synchronized List<MembershipAction> heartbeatReceived(MonotonicTime now, VmId from, Heartbeat heartbeat) {
		List<MembershipAction> actions = new ArrayList<>();
		TrackedPeer peer = this.peers.get(from);
		if (peer != null) {
			updateIncarnation(peer, heartbeat.incarnation(), now, actions);
			peer.heartbeatReceived(heartbeat, now);
			update(peer, now, actions);
		}
		return actions;
	}

	/**
	 * Processes the goodbye of a peer that shuts down.
	 * @param now the time
	 * @param from the sender
	 * @param goodbye the goodbye
	 * @return the actions
	 */
	public synchronized List<MembershipAction> goodbyeReceived(MonotonicTime now, VmId from, Goodbye goodbye) {
		List<MembershipAction> actions = new ArrayList<>();
		TrackedPeer peer = this.peers.get(from);
		if (peer != null) {
			peer.goodbyeReceived(goodbye.incarnation());
			update(peer, now, actions);
		}
		return actions;
	}

	/**
	 * Announces to all peers that this process shuts down.
	 * @return the actions
	 */
	public synchronized List<MembershipAction> leave() {
		this.leaving = true;
		List<MembershipAction> actions = new ArrayList<>();
		for (TrackedPeer peer : this.peers.values()) {
			if (peer.isLinked()) {
				actions.add(new Send(peer.vm(), new Goodbye(this.self.incarnation())));
			}
		}
		return actions;
	}

	/**
	 * Sends the heartbeats that are due and updates the peer states. Call it several
	 * times per heartbeat interval.
	 * @param now the time
	 * @param local what this process reports
	 * @return the actions
	 */
	public synchronized List<MembershipAction> tick(MonotonicTime now, LocalState local) {
		List<MembershipAction> actions = new ArrayList<>();
		updateAll(now, actions);
		if (this.nextZoneHeartbeat == null || !now.isBefore(this.nextZoneHeartbeat)) {
			this.nextZoneHeartbeat = now.plus(this.timing.heartbeatInterval());
			sendHeartbeats(true, this.zoneSelector.selectNext(local.freeSlots()), local, actions);
		}
		if (this.nextOtherZoneHeartbeat == null || !now.isBefore(this.nextOtherZoneHeartbeat)) {
			this.nextOtherZoneHeartbeat = now
				.plus(this.timing.heartbeatInterval().multipliedBy(this.timing.otherZoneFactor()));
			sendHeartbeats(false, this.otherZoneSelector.selectNext(local.freeSlots()), local, actions);
		}
		return actions;
	}

	/**
	 * Returns all known peers, without this process.
	 * @return the peers in the order of their ids
	 */
	public synchronized List<PeerInfo> peers() {
		return this.peers.values().stream().map(TrackedPeer::info).toList();
	}

	/**
	 * Returns one peer.
	 * @param vm the VM
	 * @return the peer, or empty if it is not known
	 */
	public synchronized Optional<PeerInfo> peer(VmId vm) {
		return Optional.ofNullable(this.peers.get(vm)).map(TrackedPeer::info);
	}

	/**
	 * Returns whether a peer is known.
	 * @param vm the VM
	 * @return whether it is known
	 */
	public synchronized boolean isKnown(VmId vm) {
		return this.peers.containsKey(vm);
	}

	/**
	 * Returns the live entry VMs of a zone. Those of the own zone include this process
	 * unless it is leaving.
	 * @param zone the zone
	 * @return the ids in ascending order
	 */
	public synchronized List<VmId> liveEntryVms(AvailabilityZoneId zone) {
		List<VmId> live = new ArrayList<>();
		for (TrackedPeer peer : this.peers.values()) {
			if (peer.zone().equals(zone) && peer.state() == PeerState.LIVE) {
				live.add(peer.vm());
			}
		}
		if (zone.equals(this.self.zone()) && !this.leaving) {
			live.add(this.self.vm());
		}
		live.sort(null);
		return live;
	}

	/**
	 * Returns the entry VMs of a zone that watch the store: the lowest two live ids.
	 * @param zone the zone
	 * @return at most two ids in ascending order
	 */
	public List<VmId> watchers(AvailabilityZoneId zone) {
		List<VmId> live = liveEntryVms(zone);
		return live.subList(0, Math.min(WATCHERS_PER_ZONE, live.size()));
	}

	/**
	 * Returns the other zones in which a peer is known.
	 * @return the zones
	 */
	public synchronized List<AvailabilityZoneId> otherZones() {
		return this.peers.values()
			.stream()
			.map(TrackedPeer::zone)
			.filter((zone) -> !zone.equals(this.self.zone()))
			.distinct()
			.sorted()
			.toList();
	}

	/**
	 * Returns the live peers that reported free slots for a service.
	 * @param service the service
	 * @return free slots by VM
	 */
	public synchronized Map<VmId, Integer> freeSlots(ServiceRef service) {
		Map<VmId, Integer> free = new HashMap<>();
		for (TrackedPeer peer : this.peers.values()) {
			Integer slots = peer.freeSlots().get(service);
			if (slots != null && peer.state() == PeerState.LIVE) {
				free.put(peer.vm(), slots);
			}
		}
		return free;
	}

	/**
	 * Returns the live peer that reported a shard with the highest epoch.
	 * @param shard the shard
	 * @return the peer, or empty if none reported it
	 */
	public synchronized Optional<VmId> ownerOf(ShardId shard) {
		VmId owner = null;
		Epoch highest = Epoch.NONE;
		for (TrackedPeer peer : this.peers.values()) {
			Epoch epoch = peer.shards().get(shard);
			if (epoch != null && peer.state() == PeerState.LIVE && epoch.compareTo(highest) > 0) {
				owner = peer.vm();
				highest = epoch;
			}
		}
		return Optional.ofNullable(owner);
	}

	private TrackedPeer getOrAddPeer(VmId vm, AvailabilityZoneId zone, MonotonicTime now) {
		return this.peers.computeIfAbsent(vm,
				(id) -> new TrackedPeer(id, zone, zone.equals(this.self.zone()), this.timing, now));
	}

	private boolean isInOwnZone(TrackedPeer peer) {
		return peer.zone().equals(this.self.zone());
	}

	private void connect(TrackedPeer peer, String address, List<MembershipAction> actions) {
		if (peer.updateAddress(address)) {
			actions.add(new Connect(peer.vm(), address));
		}
	}

	private void updateIncarnation(TrackedPeer peer, long incarnation, MonotonicTime now,
			List<MembershipAction> actions) {
		if (peer.updateIncarnation(incarnation, now)) {
			actions.add(new PeerRestarted(peer.vm(), incarnation));
		}
	}

	private void updateAll(MonotonicTime now, List<MembershipAction> actions) {
		Iterator<TrackedPeer> all = this.peers.values().iterator();
		while (all.hasNext()) {
			TrackedPeer peer = all.next();
			update(peer, now, actions);
			if (peer.isRemovable()) {
				all.remove();
				actions.add(new Disconnect(peer.vm()));
			}
		}
	}

	private void update(TrackedPeer peer, MonotonicTime now, List<MembershipAction> actions) {
		PeerState previous = peer.update(now);
		if (previous != peer.state()) {
			actions.add(new PeerStateChanged(peer.vm(), previous, peer.state()));
		}
	}

	private void sendHeartbeats(boolean ownZone, Map<ServiceRef, Integer> freeSlots, LocalState local,
			List<MembershipAction> actions) {
		for (TrackedPeer peer : this.peers.values()) {
			if (peer.isLinked() && isInOwnZone(peer) == ownZone) {
				actions.add(new Send(peer.vm(),
						new Heartbeat(this.self.incarnation(), peer.nextSequence(), peer.seenSequence(), this.leaving,
								local.settingsReady(), local.digest(), freeSlots, local.shards())));
			}
		}
	}

}
