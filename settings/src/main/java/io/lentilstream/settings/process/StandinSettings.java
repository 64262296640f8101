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
 * Holds the settings of a stand-in platform.
 *
 * @param listen where the platform listens
 * @param seed seed of the variation of service times
 * @param usageLag lag of the workers' usage reports
 * @param listLag lag of the list of VMs
 * @param zones the availability zones
 * @param vmsPerRack workers or endpoints of a zone in one rack
 * @param workersPerZone workers in each zone
 * @param workerCapacity what each worker holds
 * @param services the services and their endpoints
 * @param entryVms the entry VMs that the list shows
 * @param logFormat the layout of log lines
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
	 * Is a service and its endpoints.
	 *
	 * @param name the service
	 * @param team the team
	 * @param endpointsPerZone endpoints in each zone
	 * @param slots requests that an endpoint runs at once
	 * @param connections requests without a complete answer that an endpoint holds at
	 * once
	 * @param serviceTime the mean service time
	 * @param spreadPercent how far a service time is from the mean at most, in percent
	 * @param stragglerPercent share of stragglers, in percent
	 * @param stragglerFactor how many times longer a straggler runs
	 */
	public record Service(ServiceName name, TeamId team, int endpointsPerZone, int slots, int connections,
			Duration serviceTime, int spreadPercent, int stragglerPercent, int stragglerFactor) {
	}

	/**
	 * Is an entry VM of the list.
	 *
	 * @param vm the VM
	 * @param zone the availability zone
	 * @param address its peer address
	 */
	public record EntryVm(VmId vm, AvailabilityZoneId zone, HostPort address) {
	}

}
