package io.lentilstream.benchmarks.slopes;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.lentilstream.clients.VmEntry;
import io.lentilstream.clients.http.PlatformJson;
import io.lentilstream.clients.http.PlatformMessages;
import io.lentilstream.model.AvailabilityZoneId;
import io.lentilstream.model.RackId;
import io.lentilstream.model.Resources;
import io.lentilstream.model.VmId;

/**
 * Measures the bytes of one list of the VMs of a zone and the processor time of reading
 * it, by the number of workers. HTTP headers are not counted.
 */
final class DirectoryListSlope implements SlopeMeasurement {

	private static final int WORKERS_PER_RACK = 20;

	private final int[] workers;

	private final int repeats;

	private final int rounds;

	DirectoryListSlope(int[] workers, int repeats, int rounds) {
		this.workers = workers;
		this.repeats = repeats;
		this.rounds = rounds;
	}

	@Override
	public List<Slope> measure() {
		List<SlopePoint> bytes = new ArrayList<>();
		List<SlopePoint> nanos = new ArrayList<>();
		for (int count : this.workers) {
			byte[] json = list(count);
			bytes.add(new SlopePoint(count, json.length));
			nanos.add(new SlopePoint(count, CostMeter.median(this.rounds,
					() -> CostMeter.cpuNanos(() -> readAll(json)) / (double) this.repeats)));
		}
		return List.of(Slope.of("directory-list-bytes", "bytes per list", "workers of the zone", bytes),
				Slope.of("directory-list-cpu", "ns per list", "workers of the zone", nanos));
	}

	private static byte[] list(int count) {
		List<PlatformMessages.VmMessage> entries = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			entries.add(PlatformJson.message(new VmEntry(new VmId("worker-" + i), VmEntry.Role.WORKER,
					VmEntry.Status.LIVE, new AvailabilityZoneId("zone-0"), new RackId("rack-" + i / WORKERS_PER_RACK),
					"http://127.0.0.1:8080", new Resources(32_000, 125_000, 1), Optional.empty(), Optional.empty(), 0,
					0)));
		}
		return PlatformJson.write(new PlatformMessages.VmsAnswer(entries));
	}

	private void readAll(byte[] json) {
		for (int i = 0; i < this.repeats; i++) {
			if (PlatformJson.read(json, PlatformMessages.VmsAnswer.class).isEmpty()) {
				throw new IllegalStateException("list cannot be read");
			}
		}
	}

}
