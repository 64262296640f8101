package io.lentilstream.jobs;

import java.net.InetSocketAddress;
import java.util.Set;

import io.lentilstream.model.Resources;
import io.lentilstream.model.ServiceName;

/**
 * What a VM says of itself in the platform's list.
 *
 * @param id the id
 * @param incarnationStartMillis start of this incarnation, in milliseconds since 1970
 * @param service the service whose tasks it runs
 * @param address where it takes orders
 * @param zone the availability zone
 * @param draining whether it is about to leave
 * @param rack the rack; empty if unknown
 * @param capacity what its tasks may request in total
 * @param labels its labels, the rack among them
 */
public record WorkerListing(WorkerId id, long incarnationStartMillis, ServiceName service, InetSocketAddress address,
		String zone, boolean draining, String rack, Resources capacity, Set<String> labels) {
}
