package io.lentilstream.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import io.lentilstream.membership.PeerInfo;
import io.lentilstream.membership.PeerState;
import io.lentilstream.model.AvailabilityZoneId;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.VmId;
import io.lentilstream.requests.PeerReport;
import io.lentilstream.requests.ServiceKey;

/**
 * The reports for the request scheduler, derived from the free slots in peer heartbeats.
 */
final class PeerReports {

	private static final Duration ROUND_TRIP_WITHIN_ZONE = Duration.ofMillis(1);

	private static final Duration ROUND_TRIP_BETWEEN_ZONES = Duration.ofMillis(4);

	/**
	 * Queue wait that is assumed at a peer without a free slot, because the heartbeats of
	 * peers carry no estimate.
	 */
	private static final Duration WAIT_WITHOUT_FREE_SLOT = Duration.ofSeconds(10);

	private final AvailabilityZoneId zone;

	private final Map<VmId, MonotonicTime> lastHeartbeat = new ConcurrentHashMap<>();

	PeerReports(AvailabilityZoneId zone) {
		this.zone = zone;
	}

	void heartbeatReceived(VmId from, MonotonicTime now) {
		this.lastHeartbeat.put(from, now);
	}

	List<PeerReport> reports(List<PeerInfo> peers) {
		List<PeerReport> reports = new ArrayList<>();
		for (PeerInfo peer : peers) {
			MonotonicTime received = this.lastHeartbeat.get(peer.vm());
			if (peer.state() != PeerState.LIVE || received == null) {
				continue;
			}
			boolean sameZone = peer.zone().equals(this.zone);
			peer.freeSlots()
				.forEach((service, free) -> reports
					.add(new PeerReport(peer.vm(), sameZone, new ServiceKey(service.team(), service.service()), free,
							(free > 0) ? Duration.ZERO : WAIT_WITHOUT_FREE_SLOT,
							sameZone ? ROUND_TRIP_WITHIN_ZONE : ROUND_TRIP_BETWEEN_ZONES, received)));
		}
		return reports;
	}

}
