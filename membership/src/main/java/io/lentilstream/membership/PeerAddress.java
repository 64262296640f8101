package io.lentilstream.membership;

import io.lentilstream.model.AvailabilityZoneId;
import io.lentilstream.model.VmId;

/**
 * The address of a peer in the process settings.
 *
 * @param vm the VM of the peer
 * @param zone its availability zone
 * @param address host and port for frames between entry VMs
 */
public record PeerAddress(VmId vm, AvailabilityZoneId zone, String address) {
}
