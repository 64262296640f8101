package io.lentilstream.settings.schema;

import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

import io.lentilstream.model.AvailabilityZoneId;

/**
 * The settings that apply to the whole platform.
 *
 * @param regions the region of each zone that is named in the settings
 */
public record PlatformSettings(SortedMap<AvailabilityZoneId, String> regions) {

	/**
	 * Reads the settings of the platform.
	 * @param values the values of the document by path
	 * @return the settings, with defaults for what is not set
	 */
	public static PlatformSettings of(Map<String, String> values) {
		SortedMap<AvailabilityZoneId, String> regions = new TreeMap<>();
		String zones = SettingsSchema.PLATFORM + "zones/";
		for (String zone : SettingsReader.childNames(values, zones)) {
			regions.put(new AvailabilityZoneId(zone), new SettingsReader(values, zones + zone + "/").text("region"));
		}
		return new PlatformSettings(Collections.unmodifiableSortedMap(regions));
	}

}
