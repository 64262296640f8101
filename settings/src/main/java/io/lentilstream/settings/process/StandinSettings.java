package io.lentilstream.settings.process;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

import io.lentilstream.model.AvailabilityZoneId;
import io.lentilstream.model.Resources;
import io.lentilstream.model.ServiceName;
import io.lentilstream.model.TeamId;
import io.lentilstream.model.VmId;

/**
 * The settings of a stand-in platform.
 *
 * @param listen the address that the platform listens on
 * @param seed the seed of the random variation of service times
 * @param usageLag the delay of the workers' usage reports
 * @param listLag the delay of changes to the list of VMs
 * @param zones the availability zones
 * @param vmsPerRack the number of workers or endpoints of a zone in one rack
 * @param workersPerZone the number of workers in each zone
 * @param workerCapacity the resources of each worker
 * @param services the services and their endpoints
 * @param entryVms the entry VMs that the list shows
 * @param logFormat the format of log lines
 */
public record StandinSettings(HostPort listen, long seed, Duration usageLag, Duration listLag,
		List<AvailabilityZoneId> zones, int vmsPerRack, int workersPerZone, Resources workerCapacity,
		List<Service> services, List<EntryVm> entryVms, LogFormat logFormat) {

	/**
	 * Reads a settings file.
	 * @param file the file
	 * @return the settings, or all mistakes of the file
	 */
	public static SettingsResult<StandinSettings> load(Path file) {
		return StandinSettingsTable.load(file);
	}

	/**
	 * A service and its endpoints.
	 *
	 * @param name the service
	 * @param team the team
	 * @param endpointsPerZone the number of endpoints in each zone
	 * @param slots the number of requests that an endpoint runs concurrently
	 * @param connections the number of requests without a complete answer that an
	 * endpoint accepts
	 * @param serviceTime the mean service time
	 * @param spreadPercent the maximum deviation from the mean service time, in percent
	 * @param stragglerPercent the share of requests that are stragglers, in percent
	 * @param stragglerFactor the factor by which a straggler takes longer
	 */
	public record Service(ServiceName name, TeamId team, int endpointsPerZone, int slots, int connections,
			Duration serviceTime, int spreadPercent, int stragglerPercent, int stragglerFactor) {
	}

	/**
	 * An entry VM that the list of VMs contains.
	 *
	 * @param vm the VM
	 * @param zone the availability zone
	 * @param address its peer address
	 */
	public record EntryVm(VmId vm, AvailabilityZoneId zone, HostPort address) {
	}

}
