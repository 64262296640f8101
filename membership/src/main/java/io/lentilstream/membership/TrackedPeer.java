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
 * The information about one peer, from which its state is derived.
 */
final class TrackedPeer {

	/**
	 * Most heartbeats in a row that a flapping peer needs to become live again.
	 */
	private static final int MAX_RECOVERY_HEARTBEATS = 8;

	private final VmId vm;

	private final AvailabilityZoneId zone;

	private final MembershipTiming timing;

	private final int factor;

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

	private long acknowledged;

	private MonotonicTime lastHeard;

	private MonotonicTime lastAcknowledged;

	private MonotonicTime liveSince;

	private boolean heardOnce;

	private int heartbeatsInRow;

	private int flaps;

	private boolean settingsReady;

	private Optional<SettingsDigest> digest = Optional.empty();

	private final Map<ServiceRef, Integer> freeSlots = new HashMap<>();

	private Map<ShardId, Epoch> shards = Map.of();

	TrackedPeer(VmId vm, AvailabilityZoneId zone, boolean sameZone, MembershipTiming timing, MonotonicTime now) {
		this.vm = vm;
		this.zone = zone;
		this.timing = timing;
		this.factor = sameZone ? 1 : timing.otherZoneFactor();
		this.lastHeard = now;
		this.lastAcknowledged = now;
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
	 * Sets the address.
	 * @param newAddress host and port
	 * @return whether it changed
	 */
	boolean moveTo(String newAddress) {
		boolean changed = !this.address.equals(newAddress);
		this.address = newAddress;
		return changed;
	}

	void configured() {
		this.configured = true;
	}

	boolean isConfigured() {
		return this.configured;
	}

	void listed(boolean present, boolean isLeaving) {
		this.listed = present;
		this.listedLeaving = present && isLeaving;
	}

	boolean isRemovable() {
		return this.state == PeerState.GONE && !this.configured && !this.listed && !this.linked;
	}

	/**
	 * Resets the state that belongs to an earlier process of the peer if a newer one is
	 * running.
	 * @param run the incarnation in a proved hello or a heartbeat
	 * @param now the time
	 * @return whether this run follows another one
	 */
	boolean startRun(long run, MonotonicTime now) {
		if (run <= this.incarnation) {
			return false;
		}
		boolean restarted = this.incarnation != 0;
		this.incarnation = run;
		this.seenSequence = 0;
		this.acknowledged = 0;
		this.lastAcknowledged = now;
		this.heartbeatsInRow = 0;
		this.leaving = false;
		this.settingsReady = false;
		this.digest = Optional.empty();
		this.freeSlots.clear();
		this.shards = Map.of();
		return restarted;
	}

	void linkUp(MonotonicTime now) {
		this.linked = true;
		this.lastAcknowledged = now;
	}

	void linkDown() {
		this.linked = false;
		this.heartbeatsInRow = 0;
	}

	void goodbye(long run) {
		if (run >= this.incarnation) {
			this.leaving = true;
		}
	}

	/**
	 * Processes a heartbeat.
	 * @param heartbeat the heartbeat
	 * @param now the time
	 */
	void heard(Heartbeat heartbeat, MonotonicTime now) {
		// A frame of an earlier run, or one that was overtaken, must not refresh
		// the peer.
		if (heartbeat.incarnation() < this.incarnation || heartbeat.sequence() <= this.seenSequence) {
			return;
		}
		this.seenSequence = heartbeat.sequence();
		this.lastHeard = now;
		this.heardOnce = true;
		this.heartbeatsInRow++;
		if (heartbeat.lastSeen() > this.acknowledged && heartbeat.lastSeen() <= this.sentSequence) {
			this.acknowledged = heartbeat.lastSeen();
			this.lastAcknowledged = now;
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
	 * Derives the state.
	 * @param now the time
	 * @return the state before
	 */
	PeerState update(MonotonicTime now) {
		PeerState before = this.state;
		this.state = derive(now);
		if (before == PeerState.LIVE && this.state == PeerState.SUSPECT) {
			this.heartbeatsInRow = 0;
			this.flaps++;
		}
		if (before != PeerState.LIVE && this.state == PeerState.LIVE) {
			this.liveSince = now;
		}
		if (this.state == PeerState.LIVE && elapsed(this.liveSince, now, this.timing.flapWindow())) {
			this.flaps = 0;
		}
		if (this.state == PeerState.GONE) {
			this.freeSlots.clear();
			this.shards = Map.of();
		}
		return before;
	}

	PeerInfo info() {
		return new PeerInfo(this.vm, this.zone, this.state, this.incarnation, this.settingsReady, this.digest,
				Map.copyOf(this.freeSlots), this.shards);
	}

	private PeerState derive(MonotonicTime now) {
		if (elapsed(this.lastHeard, now, this.timing.goneAfter().multipliedBy(this.factor))) {
			return PeerState.GONE;
		}
		if (!this.heardOnce) {
			return PeerState.CONNECTING;
		}
		if (this.leaving || this.listedLeaving) {
			return PeerState.LEAVING;
		}
		Duration suspectAfter = this.timing.suspectAfter().multipliedBy(this.factor);
		boolean silent = elapsed(this.lastHeard, now, suspectAfter);
		boolean unheard = elapsed(this.lastAcknowledged, now, suspectAfter);
		if (!this.linked || silent || unheard) {
			return PeerState.SUSPECT;
		}
		int needed = Math.min(1 << Math.min(this.flaps, 3), MAX_RECOVERY_HEARTBEATS);
		boolean recovered = this.state == PeerState.LIVE || this.heartbeatsInRow >= needed;
		return recovered ? PeerState.LIVE : notYetLive();
	}

	private PeerState notYetLive() {
		return (this.state == PeerState.CONNECTING) ? PeerState.CONNECTING : PeerState.SUSPECT;
	}

	private static boolean elapsed(MonotonicTime since, MonotonicTime now, Duration limit) {
		return now.isAfter(since.plus(limit));
	}

}
