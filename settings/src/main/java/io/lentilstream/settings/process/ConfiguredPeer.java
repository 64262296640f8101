package io.lentilstream.settings.process;

import io.lentilstream.model.AvailabilityZoneId;
import io.lentilstream.model.VmId;

/**
 * An entry VM that the settings file lists as a peer.
 *
 * @param vm the VM
 * @param zone its availability zone
 * @param address the address that other entry VMs connect to
 */
public record ConfiguredPeer(VmId vm, AvailabilityZoneId zone, HostPort address) {
}
