package io.lentilstream.clients;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.lentilstream.model.AvailabilityZoneId;

/**
 * Reads the platform's list of live and leaving VMs. The list lags behind.
 */
@FunctionalInterface
public interface VmDirectory {

	/**
	 * Reads the list of a zone.
	 * @param zone the availability zone
	 * @return the entries, or empty if the platform did not answer
	 */
	CompletableFuture<Optional<List<VmEntry>>> list(AvailabilityZoneId zone);

}
