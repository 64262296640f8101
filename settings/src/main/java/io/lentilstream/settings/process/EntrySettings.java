package io.lentilstream.settings.process;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

import io.lentilstream.model.AvailabilityZoneId;
import io.lentilstream.model.VmId;

/**
 * Holds the settings of an entry daemon.
 *
 * @param vm the VM of the daemon
 * @param zone the availability zone of the VM
 * @param region the region of the zone
 * @param httpAddress the address that callers and operators connect to
 * @param peerAddress the address that other entry VMs connect to
 * @param peers other entry VMs; this VM may be among them
 * @param platform how to reach the platform
 * @param peerKey the key that entry VMs prove to each other
 * @param administratorKey the key of the administrator
 * @param limits sizes of bodies, headers and queues
 * @param leases lengths and margins of leases
 * @param shards numbers of shards
 * @param logFormat the layout of log lines
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
	 * Says how to reach the platform.
	 *
	 * @param baseUrl the base URL without trailing slash; the store is at {@code /store},
	 * the list of VMs at {@code /directory}, and addresses of workers and endpoints come
	 * from that list
	 * @param connectTimeout the longest time to open a connection
	 * @param callTimeout the longest time of a call
	 * @param listInterval time between two reads of the list of VMs
	 */
	public record Platform(String baseUrl, Duration connectTimeout, Duration callTimeout, Duration listInterval) {
	}

	/**
	 * Sets sizes of bodies, headers and queues.
	 *
	 * @param requestBodyBytes largest body of a request, in bytes
	 * @param answerBodyBytes largest body of an endpoint's answer, in bytes
	 * @param headerBytes largest headers of a request, in bytes
	 * @param frameBytes largest frame between entry VMs, in bytes
	 * @param queuedRequests requests that wait at once, over all teams and services
	 * @param queuedFrames frames that wait for one peer
	 * @param queuedCommits entries that wait for a write of a shard's log
	 * @param connections open connections of callers
	 */
	public record Limits(int requestBodyBytes, int answerBodyBytes, int headerBytes, int frameBytes, int queuedRequests,
			int queuedFrames, int queuedCommits, int connections) {
	}

	/**
	 * Sets lengths and margins of leases.
	 *
	 * @param storeLease length of the entry VM's lease in the store
	 * @param storeMargin safety margin before the end of the store lease
	 * @param taskLease length of a task's lease at its worker
	 * @param clockMargin time added to a task lease before the task may start elsewhere
	 * @param outageGrace how long existing task leases are renewed without the store
	 */
	public record Leases(Duration storeLease, Duration storeMargin, Duration taskLease, Duration clockMargin,
			Duration outageGrace) {
	}

	/**
	 * Sets numbers of shards.
	 *
	 * @param perZone shards per availability zone
	 * @param requestShardsPerRegion request shards per region
	 * @param commitInterval shortest time between two writes of a shard's log
	 */
	public record Shards(int perZone, int requestShardsPerRegion, Duration commitInterval) {
	}

}
