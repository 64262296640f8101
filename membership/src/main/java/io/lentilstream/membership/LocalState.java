package io.lentilstream.membership;

import java.util.Map;

import io.lentilstream.model.Epoch;
import io.lentilstream.model.ShardId;
import io.lentilstream.wire.ServiceRef;
import io.lentilstream.wire.SettingsDigest;

/**
 * What this process reports in its heartbeats.
 *
 * @param settingsReady whether a complete set of settings is in force
 * @param digest the settings in force
 * @param freeSlots free slots per service on the shards that this process owns
 * @param shards the shards that this process owns, with their epochs
 */
public record LocalState(boolean settingsReady, SettingsDigest digest, Map<ServiceRef, Integer> freeSlots,
		Map<ShardId, Epoch> shards) {
}
