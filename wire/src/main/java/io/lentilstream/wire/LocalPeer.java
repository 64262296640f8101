package io.lentilstream.wire;

import io.lentilstream.model.AvailabilityZoneId;
import io.lentilstream.model.VmId;

/**
 * Is the identity under which a process takes part.
 *
 * @param vm the VM
 * @param zone its availability zone
 * @param incarnation the run of the process; a later run of the same VM has a higher one
 */
public record LocalPeer(VmId vm, AvailabilityZoneId zone, long incarnation) {
}
