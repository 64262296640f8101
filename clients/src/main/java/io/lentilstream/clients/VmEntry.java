package io.lentilstream.clients;

import java.util.Optional;

import io.lentilstream.model.AvailabilityZoneId;
import io.lentilstream.model.RackId;
import io.lentilstream.model.Resources;
import io.lentilstream.model.ServiceName;
import io.lentilstream.model.TeamId;
import io.lentilstream.model.VmId;

/**
 * Is one entry of the platform's list of VMs.
 *
 * @param vm the VM; an endpoint has the id of its VM
 * @param role what the VM is for
 * @param status whether the VM is live or leaving
 * @param zone the availability zone
 * @param rack the rack
 * @param address host and port
 * @param capacity what the VM holds; none for entry VMs and endpoints
 * @param team the team of an endpoint
 * @param service the service of an endpoint
 * @param slots requests that an endpoint runs at once; 0 for other roles
 * @param connections connections that an endpoint accepts; 0 for other roles
 */
public record VmEntry(VmId vm, Role role, Status status, AvailabilityZoneId zone, RackId rack, String address,
		Resources capacity, Optional<TeamId> team, Optional<ServiceName> service, int slots, int connections) {

	/**
	 * What a VM is for.
	 */
	public enum Role {

		/** Runs an entry daemon. */
		ENTRY,

		/** Runs tasks. */
		WORKER,

		/** Answers requests. */
		ENDPOINT

	}

	/**
	 * Whether a VM stays.
	 */
	public enum Status {

		/** The VM is live. */
		LIVE,

		/** The VM leaves and must get no new work. */
		LEAVING

	}

}
