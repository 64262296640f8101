package io.lentilstream.membership;

import java.util.Map;
import java.util.Optional;

import io.lentilstream.model.AvailabilityZoneId;
import io.lentilstream.model.Epoch;
import io.lentilstream.model.ShardId;
import io.lentilstream.model.VmId;
import io.lentilstream.wire.ServiceRef;
import io.lentilstream.wire.SettingsDigest;

/**
 * A snapshot of one peer as this process sees it.
 *
 * @param vm the VM
 * @param zone its availability zone
 * @param state the state
 * @param incarnation the incarnation of its process; 0 before the first contact
 * @param settingsReady whether it reported a complete set of settings
 * @param digest the settings it reported in force, or empty before the first heartbeat
 * @param freeSlots the last reported free slots per service; only a part between zones
 * @param shards the shards it reported, with their epochs
 */
public record PeerInfo(VmId vm, AvailabilityZoneId zone, PeerState state, long incarnation, boolean settingsReady,
		Optional<SettingsDigest> digest, Map<ServiceRef, Integer> freeSlots, Map<ShardId, Epoch> shards) {
}
