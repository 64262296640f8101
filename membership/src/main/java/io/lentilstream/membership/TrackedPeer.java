package io.lentilstream.membership;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.lentilstream.model.AvailabilityZoneId;
import io.lentilstream.model.Epoch;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.ShardId;
import io.lentilstream.model.VmId;
import io.lentilstream.wire.PeerMessage.Heartbeat;
import io.lentilstream.wire.ServiceRef;
import io.lentilstream.wire.SettingsDigest;

/**
 * What this process knows about one peer: its links, heartbeats and configuration, and
 * the state that follows from them.
 */
final class TrackedPeer {

	/**
	 * Maximum number of consecutive heartbeats that make a flapping peer live again.
	 */
	private static final int MAX_RECOVERY_HEARTBEATS = 8;

	private final VmId vm;

	private final AvailabilityZoneId zone;

	private final MembershipTiming timing;

	private final int timeoutFactor;

	private PeerState state = PeerState.CONNECTING;

	private String address = "";

	private boolean configured;

	private boolean listed;

	private boolean listedLeaving;

	private boolean linked;

	private boolean leaving;

	private long incarnation;

	private long seenSequence;

	private long sentSequence;

	private long acknowledgedSequence;

	private MonotonicTime lastHeartbeat;

	private MonotonicTime lastAcknowledgement;

	private MonotonicTime liveSince;

	private boolean receivedHeartbeat;

	private int consecutiveHeartbeats;

	private int flapCount;

	private boolean settingsReady;

	private Optional<SettingsDigest> digest = Optional.empty();

	private final Map<ServiceRef, Integer> freeSlots = new HashMap<>();

	private Map<ShardId, Epoch> shards = Map.of();

	TrackedPeer(VmId vm, AvailabilityZoneId zone, boolean sameZone, MembershipTiming timing, MonotonicTime now) {
		this.vm = vm;
		this.zone = zone;
		this.timing = timing;
		this.timeoutFactor = sameZone ? 1 : timing.otherZoneFactor();
		this.lastHeartbeat = now;
		this.lastAcknowledgement = now;
		this.liveSince = now;
	}

	VmId vm() {
		return this.vm;
	}

	AvailabilityZoneId zone() {
		return this.zone;
	}

	PeerState state() {
		return this.state;
	}

	boolean isLinked() {
		return this.linked;
	}

	long incarnation() {
		return this.incarnation;
	}

	Map<ServiceRef, Integer> freeSlots() {
		return this.freeSlots;
	}

	Map<ShardId, Epoch> shards() {
		return this.shards;
	}

	/**
	 * Updates the address.
	 * @param newAddress host and port
	 * @return whether it changed
	 */
	boolean updateAddress(String newAddress) {
		boolean changed = !this.address.equals(newAddress);
		this.address = newAddress;
		return changed;
	}

	void markConfigured() {
		this.configured = true;
	}

	boolean isConfigured() {
		return this.configured;
	}

	void setListed(boolean isListed, boolean isLeaving) {
		this.listed = isListed;
		this.listedLeaving = isListed && isLeaving;
	}

	boolean isRemovable() {
		return this.state == PeerState.GONE && !this.configured && !this.listed && !this.linked;
	}

	/**
	 * Updates the incarnation of the peer. A higher one resets what an earlier process of
	 * the peer reported.
	 * @param newIncarnation the incarnation from a completed handshake or a heartbeat
	 * @param now the time
	 * @return whether the peer restarted; false for its first incarnation
	 */
	boolean updateIncarnation(long newIncarnation, MonotonicTime now) {
		if (newIncarnation <= this.incarnation) {
			return false;
		}
		boolean restarted = this.incarnation != 0;
		this.incarnation = newIncarnation;
		this.seenSequence = 0;
		this.acknowledgedSequence = 0;
		this.lastAcknowledgement = now;
		this.consecutiveHeartbeats = 0;
		this.leaving = false;
		this.settingsReady = false;
		this.digest = Optional.empty();
		this.freeSlots.clear();
		this.shards = Map.of();
		return restarted;
	}

	void linkUp(MonotonicTime now) {
		this.linked = true;
		this.lastAcknowledgement = now;
	}

	void linkDown() {
		this.linked = false;
		this.consecutiveHeartbeats = 0;
	}

	void goodbyeReceived(long senderIncarnation) {
		if (senderIncarnation >= this.incarnation) {
			this.leaving = true;
		}
	}

	/**
	 * Processes a heartbeat. Duplicates, reordered heartbeats and those of an earlier
	 * incarnation are ignored.
	 * @param heartbeat the heartbeat
	 * @param now the time
	 */
	void heartbeatReceived(Heartbeat heartbeat, MonotonicTime now) {
		// A frame of an earlier process or one that arrives out of order does not show
		// that the peer is alive now.
		if (heartbeat.incarnation() < this.incarnation || heartbeat.sequence() <= this.seenSequence) {
			return;
		}
		this.seenSequence = heartbeat.sequence();
		this.lastHeartbeat = now;
		this.receivedHeartbeat = true;
		this.consecutiveHeartbeats++;
		if (heartbeat.lastSeen() > this.acknowledgedSequence && heartbeat.lastSeen() <= this.sentSequence) {
			this.acknowledgedSequence = heartbeat.lastSeen();
			this.lastAcknowledgement = now;
		}
		this.leaving = this.leaving || heartbeat.leaving();
		this.settingsReady = heartbeat.settingsReady();
		this.digest = Optional.of(heartbeat.digest());
		this.freeSlots.putAll(heartbeat.freeSlots());
		this.freeSlots.values().removeIf((slots) -> slots == 0);
		this.shards = heartbeat.shards();
	}

	long nextSequence() {
		return ++this.sentSequence;
	}

	long seenSequence() {
		return this.seenSequence;
	}

	/**
	 * Updates the state.
	 * @param now the time
	 * @return the previous state
	 */
	PeerState update(MonotonicTime now) {
		PeerState previous = this.state;
		this.state = deriveState(now);
		if (previous == PeerState.LIVE && this.state == PeerState.SUSPECT) {
			this.consecutiveHeartbeats = 0;
			this.flapCount++;
		}
		if (previous != PeerState.LIVE && this.state == PeerState.LIVE) {
			this.liveSince = now;
		}
		if (this.state == PeerState.LIVE && elapsed(this.liveSince, now, this.timing.flapResetAfter())) {
			this.flapCount = 0;
		}
		if (this.state == PeerState.GONE) {
			this.freeSlots.clear();
			this.shards = Map.of();
		}
		return previous;
	}

	PeerInfo info() {
		return new PeerInfo(this.vm, this.zone, this.state, this.incarnation, this.settingsReady, this.digest,
				Map.copyOf(this.freeSlots), this.shards);
	}

	private PeerState deriveState(MonotonicTime now) {
		if (elapsed(this.lastHeartbeat, now, this.timing.goneAfter().multipliedBy(this.timeoutFactor))) {
			return PeerState.GONE;
		}
		if (!this.receivedHeartbeat) {
			return PeerState.CONNECTING;
		}
		if (this.leaving || this.listedLeaving) {
			return PeerState.LEAVING;
		}
		Duration suspectAfter = this.timing.suspectAfter().multipliedBy(this.timeoutFactor);
		boolean heartbeatsMissing = elapsed(this.lastHeartbeat, now, suspectAfter);
		boolean acknowledgementsMissing = elapsed(this.lastAcknowledgement, now, suspectAfter);
		if (!this.linked || heartbeatsMissing || acknowledgementsMissing) {
			return PeerState.SUSPECT;
		}
		int requiredHeartbeats = Math.min(1 << Math.min(this.flapCount, 3), MAX_RECOVERY_HEARTBEATS);
		boolean recovered = this.state == PeerState.LIVE || this.consecutiveHeartbeats >= requiredHeartbeats;
		return recovered ? PeerState.LIVE : stateBeforeRecovery();
	}

	private PeerState stateBeforeRecovery() {
		return (this.state == PeerState.CONNECTING) ? PeerState.CONNECTING : PeerState.SUSPECT;
	}

	private static boolean elapsed(MonotonicTime since, MonotonicTime now, Duration limit) {
		return now.isAfter(since.plus(limit));
	}

}
