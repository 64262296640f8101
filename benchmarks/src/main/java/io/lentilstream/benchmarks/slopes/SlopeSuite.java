package io.lentilstream.benchmarks.slopes;

import java.util.ArrayList;
import java.util.List;

/**
 * Lists the measurements of the capacity page. The sizes keep the whole suite below a few
 * minutes on a busy machine.
 */
public final class SlopeSuite {

	private static final int ROUNDS = 5;

	private final List<SlopeMeasurement> measurements;

	SlopeSuite(List<SlopeMeasurement> measurements) {
		this.measurements = List.copyOf(measurements);
	}

	/**
	 * Returns the measurements of the capacity page.
	 * @return the suite
	 */
	public static SlopeSuite standard() {
		return new SlopeSuite(
				List.of(new RequestDecisionSlope(new int[] { 8, 32, 128, 512 }, 50_000, ROUNDS),
						new TaskShardSlope(new int[] { 50, 100, 200, 400 }, new int[] { 2_000, 4_000, 8_000, 16_000 },
								34, ROUNDS),
						new WorkerRenewalSlope(new int[] { 1, 10, 34, 100 }, 2_000, ROUNDS),
						new DirectoryListSlope(new int[] { 10, 100, 500, 1_231 }, 20, ROUNDS),
						new ShardLogSlope(new int[] { 25, 50, 100, 165, 330 }, 120), new HeartbeatSlope(60, ROUNDS),
						new DocumentRelaySlope(300, ROUNDS), new OwnershipSlope(new int[] { 7, 21, 49, 91 }, 120),
						new SettingsReplicaSlope(new int[] { 7, 21, 49, 91 }, 120),
						new RequestRecordMemorySlope(new int[] { 2_000, 4_000, 8_000, 16_000 },
								new int[] { 64, 256, 1_024, 4_096 }),
						new EntryDaemonSlope(new int[] { 0, 100, 200, 400 }, 4)));
	}

	/**
	 * Runs the measurements one after the other.
	 * @return the slopes
	 * @throws Exception if a part cannot be run
	 */
	public List<Slope> run() throws Exception {
		List<Slope> slopes = new ArrayList<>();
		for (SlopeMeasurement measurement : this.measurements) {
			slopes.addAll(measurement.measure());
		}
		return slopes;
	}

}
