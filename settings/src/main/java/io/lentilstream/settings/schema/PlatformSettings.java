package io.lentilstream.settings.schema;

import java.time.Duration;
import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

import io.lentilstream.model.AvailabilityZoneId;

/**
 * Holds the settings of the whole platform.
 *
 * @param evictionsPerMinute most evictions per shard and minute for the sake of quotas
 * @param leaseLength the length of an entry VM's lease in the store
 * @param leaseSafetyMargin the time before the end of its lease at which an owner stops
 * to commit
 * @param taskLease the length of a task's lease at its worker
 * @param clockMargin the time added to a task lease before the task may start elsewhere
 * @param outageGrace the time that an owner without the store goes on to renew existing
 * task leases
 * @param shardsPerZone the number of shards of each zone
 * @param requestShards the number of request shards of each region
 * @param commitInterval the shortest time between two writes of a shard log
 * @param releaseDelay the time after which an entry VM releases shards above its share
 * @param regions the region of each zone that is named in the settings
 */
public record PlatformSettings(int evictionsPerMinute, Duration leaseLength, Duration leaseSafetyMargin,
		Duration taskLease, Duration clockMargin, Duration outageGrace, int shardsPerZone, int requestShards,
		Duration commitInterval, Duration releaseDelay, SortedMap<AvailabilityZoneId, String> regions) {

	/**
	 * Reads the settings of the platform.
	 * @param values the values of the document by path
	 * @return the settings, with defaults for what is not set
	 */
	public static PlatformSettings of(Map<String, String> values) {
		SettingsReader reader = new SettingsReader(values, SettingsSchema.PLATFORM);
		SortedMap<AvailabilityZoneId, String> regions = new TreeMap<>();
		String zones = SettingsSchema.PLATFORM + "zones/";
		for (String zone : SettingsReader.names(values, zones)) {
			regions.put(new AvailabilityZoneId(zone), new SettingsReader(values, zones + zone + "/").text("region"));
		}
		return new PlatformSettings(reader.integer("evictions-per-minute"), reader.duration("lease-length"),
				reader.duration("lease-safety-margin"), reader.duration("task-lease"), reader.duration("clock-margin"),
				reader.duration("outage-grace"), reader.integer("shards-per-zone"), reader.integer("request-shards"),
				reader.duration("commit-interval"), reader.duration("release-delay"),
				Collections.unmodifiableSortedMap(regions));
	}

}
