package io.lentilstream.entry.directory;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import io.lentilstream.clients.VmEntry;
import io.lentilstream.model.AvailabilityZoneId;
import io.lentilstream.model.TeamId;

/**
 * The number of listed slots of each team in all zones. It converts a quota in slots to a
 * share of the slots that one entry VM owns.
 */
public final class SlotCounts {

	private final Map<AvailabilityZoneId, Map<TeamId, Integer>> byZone = new ConcurrentHashMap<>();

	/**
	 * Replaces the counts of a zone.
	 * @param zone the zone
	 * @param entries the VM list of the zone
	 * @return whether the counts of the zone changed
	 */
	public boolean update(AvailabilityZoneId zone, List<VmEntry> entries) {
		Map<TeamId, Integer> counts = new HashMap<>();
		for (VmEntry entry : entries) {
			if (entry.role() == VmEntry.Role.ENDPOINT) {
				entry.team().ifPresent((team) -> counts.merge(team, entry.slots(), Integer::sum));
			}
		}
		return !counts.equals(this.byZone.put(zone, counts));
	}

	/**
	 * Returns the slots of a team.
	 * @param team the team
	 * @return the slots of its endpoints in all listed zones
	 */
	public int slotsOf(TeamId team) {
		return this.byZone.values().stream().mapToInt((counts) -> counts.getOrDefault(team, 0)).sum();
	}

}
