package io.lentilstream.settings.process;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

import io.lentilstream.model.AvailabilityZoneId;
import io.lentilstream.model.VmId;

/**
 * The settings of an entry daemon.
 *
 * @param vm the VM of the daemon
 * @param zone the availability zone of the VM
 * @param region the region of the zone
 * @param httpAddress the address that callers and operators connect to
 * @param peerAddress the address that other entry VMs connect to
 * @param peers the configured entry VMs; may include this VM
 * @param platform the connection to the platform
 * @param peerKey the shared key that entry VMs authenticate each other with
 * @param administratorKey the key of the administrator
 * @param limits the limits of bodies, headers and queues
 * @param leases the durations and safety margins of leases
 * @param shards the numbers of shards and their commit interval
 * @param logFormat the format of log lines
 */
public record EntrySettings(VmId vm, AvailabilityZoneId zone, String region, HostPort httpAddress, HostPort peerAddress,
		List<ConfiguredPeer> peers, Platform platform, Secret peerKey, Secret administratorKey, Limits limits,
		Leases leases, Shards shards, LogFormat logFormat) {

	/**
	 * Reads a settings file.
	 * @param file the file
	 * @return the settings, or all mistakes of the file
	 */
	public static SettingsResult<EntrySettings> load(Path file) {
		return EntrySettingsTable.load(file);
	}

	/**
	 * The connection to the platform.
	 *
	 * @param baseUrl the base URL without trailing slash; the store is at {@code /store},
	 * the list of VMs at {@code /directory}, and addresses of workers and endpoints come
	 * from that list
	 * @param connectTimeout the timeout for opening a connection
	 * @param callTimeout the timeout of a call
	 * @param listInterval the interval at which the list of VMs is polled
	 */
	public record Platform(String baseUrl, Duration connectTimeout, Duration callTimeout, Duration listInterval) {
	}

	/**
	 * The limits of bodies, headers and queues.
	 *
	 * @param requestBodyBytes the maximum size of a request body, in bytes
	 * @param answerBodyBytes the maximum body size of an endpoint's answer, in bytes
	 * @param headerBytes the maximum size of the headers of a request, in bytes
	 * @param frameBytes the maximum size of a frame between entry VMs, in bytes
	 * @param queuedRequests the maximum number of requests that wait at once, over all
	 * teams and services
	 * @param queuedFrames the maximum number of frames that wait to be sent to one peer
	 * @param queuedCommits the maximum number of entries that wait to be written to a
	 * shard's log
	 * @param connections the maximum number of open connections of callers
	 */
	public record Limits(int requestBodyBytes, int answerBodyBytes, int headerBytes, int frameBytes, int queuedRequests,
			int queuedFrames, int queuedCommits, int connections) {
	}

	/**
	 * The durations and safety margins of leases.
	 *
	 * @param storeLease the duration of the entry VM's lease in the store
	 * @param storeMargin the safety margin before the end of the store lease
	 * @param taskLease the duration of a task's lease on its worker
	 * @param clockMargin the time added to a task lease for clock errors before the task
	 * may start elsewhere
	 * @param outageGrace how long existing task leases are renewed while the store does
	 * not answer
	 */
	public record Leases(Duration storeLease, Duration storeMargin, Duration taskLease, Duration clockMargin,
			Duration outageGrace) {
	}

	/**
	 * The numbers of shards and their commit interval.
	 *
	 * @param perZone the number of shards per availability zone
	 * @param requestShardsPerRegion the number of request shards per region
	 * @param commitInterval the minimum time between two writes of a shard's log
	 */
	public record Shards(int perZone, int requestShardsPerRegion, Duration commitInterval) {
	}

}
