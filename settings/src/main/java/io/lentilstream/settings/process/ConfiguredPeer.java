package io.lentilstream.settings.process;

import io.lentilstream.model.AvailabilityZoneId;
import io.lentilstream.model.VmId;

/**
 * Names another entry VM in the settings file.
 *
 * @param vm the VM
 * @param zone its availability zone
 * @param address where it listens for other entry VMs
 */
public record ConfiguredPeer(VmId vm, AvailabilityZoneId zone, HostPort address) {
}
