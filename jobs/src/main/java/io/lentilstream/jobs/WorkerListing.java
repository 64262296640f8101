package io.lentilstream.jobs;

import java.net.InetSocketAddress;
import java.util.Set;

import io.lentilstream.model.Resources;
import io.lentilstream.model.ServiceName;

/**
 * The entry of a VM in the platform's list of VMs.
 *
 * @param id the id
 * @param incarnationStartMillis when this incarnation started, in milliseconds since 1970
 * @param service the service whose tasks the VM runs
 * @param address the address to which commands are sent
 * @param zone the availability zone
 * @param draining whether the VM is draining before it leaves
 * @param rack the rack; empty if unknown
 * @param capacity the total resources that its tasks may reserve
 * @param labels the labels, including the rack
 */
public record WorkerListing(WorkerId id, long incarnationStartMillis, ServiceName service, InetSocketAddress address,
		String zone, boolean draining, String rack, Resources capacity, Set<String> labels) {
}
