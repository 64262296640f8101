package io.lentilstream.benchmarks.slopes;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;

/**
 * Measures the bytes of heartbeats that one entry VM sends and the processor time of
 * sending and receiving them, by the number of peers, services and owned shards. The
 * received bytes equal the sent ones. Headers of TCP are not counted.
 */
final class HeartbeatSlope implements SlopeMeasurement {

	private static final int ZONE_PEERS = PeerMesh.VMS_PER_ZONE - 1;

	// 12 other zones of 7 entry VMs.
	private static final int OTHER_PEERS = 84;

	private static final int SERVICES = 16;

	// 104 shards of zones and 4 x 16 request shards over 91 entry VMs, rounded up.
	private static final int SHARDS = 2;

	private final int seconds;

	private final int rounds;

	HeartbeatSlope(int seconds, int rounds) {
		this.seconds = seconds;
		this.rounds = rounds;
	}

	@Override
	public List<Slope> measure() {
		List<Slope> slopes = new ArrayList<>();
		add(slopes, "zone-peers", "peers of the zone", new int[] { 1, 3, 6, 12 },
				(size) -> new PeerMesh(size, 0, SERVICES, SHARDS));
		add(slopes, "other-zone-peers", "peers of other zones", new int[] { 12, 24, 48, 84 },
				(size) -> new PeerMesh(ZONE_PEERS, size, SERVICES, SHARDS));
		add(slopes, "services", "services", new int[] { 1, 4, 8, 16 },
				(size) -> new PeerMesh(ZONE_PEERS, OTHER_PEERS, size, SHARDS));
		add(slopes, "many-services", "services", new int[] { 16, 64, 256, 1_024 },
				(size) -> new PeerMesh(ZONE_PEERS, OTHER_PEERS, size, SHARDS));
		add(slopes, "shards", "owned shards", new int[] { 1, 2, 4, 8 },
				(size) -> new PeerMesh(ZONE_PEERS, OTHER_PEERS, SERVICES, size));
		return slopes;
	}

	private void add(List<Slope> slopes, String name, String sizeName, int[] sizes, IntFunction<PeerMesh> create) {
		List<SlopePoint> bytes = new ArrayList<>();
		List<SlopePoint> nanos = new ArrayList<>();
		for (int size : sizes) {
			PeerMesh mesh = create.apply(size);
			mesh.run(this.seconds);
			bytes.add(new SlopePoint(size, (double) mesh.sentBytes() / this.seconds));
			nanos.add(new SlopePoint(size, CostMeter.median(this.rounds,
					() -> CostMeter.cpuNanos(() -> mesh.run(this.seconds)) / (double) this.seconds)));
		}
		slopes.add(Slope.of("heartbeat-bytes-by-" + name, "bytes/s sent", sizeName, bytes));
		slopes.add(Slope.of("heartbeat-cpu-by-" + name, "ns per second", sizeName, nanos));
	}

}
