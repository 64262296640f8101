package io.lentilstream.benchmarks.membership;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import io.lentilstream.wire.MessageKind;

/**
 * Measures the time until settings are in force, store calls and control bytes, in
 * virtual time. Arguments: seed, one-way delay between zones in microseconds, number of
 * zones, and number of entry VMs per zone; or the word services in place of the last two.
 */
public final class PropagationBenchmark {

	private static final List<MessageKind> KINDS = List.of(MessageKind.HEARTBEAT, MessageKind.DOCUMENT,
			MessageKind.FETCH_DOCUMENTS);

	private static final int[] SERVICES = { 0, 8, 32, 340 };

	private static final double CHANGES_PER_SECOND = 14_000 / 86_400.0;

	private static final double WARM_UP_SECONDS = 60;

	private static final double REST_SECONDS = 300;

	private static final double LOAD_SECONDS = 2_400;

	private static final double BURST_SECONDS = 20;

	private static final double BURST_RATE = 50;

	private static final int OUTAGES = 100;

	private static final double OUTAGE_SECONDS = 10;

	private static final double SETTLE_SECONDS = 4;

	private final long seed;

	private final int otherZoneDelayMicros;

	private final PrintStream out;

	private PropagationBenchmark(long seed, int otherZoneDelayMicros, PrintStream out) {
		this.seed = seed;
		this.otherZoneDelayMicros = otherZoneDelayMicros;
		this.out = out;
	}

	/**
	 * Runs one measurement and prints its table.
	 * @param args the seed, the delay, and the size or the word services
	 */
	public static void main(String[] args) {
		PropagationBenchmark benchmark = new PropagationBenchmark(Long.parseLong(args[0]), Integer.parseInt(args[1]),
				System.out);
		if (args[2].equals("services")) {
			benchmark.measureServices();
		}
		else {
			benchmark.measureSize(new int[] { Integer.parseInt(args[2]), Integer.parseInt(args[3]) });
		}
	}

	private void measureSize(int[] size) {
		print("| entry VMs | scenario | p50 s | p99 s | max s | changes | store calls/s | calls per change "
				+ "| bytes/s per node, mean | max | heartbeats | documents | comparisons | store bytes/s |");
		VirtualCluster cluster = start(size, 8);
		Run rest = run(cluster, REST_SECONDS, 0);
		report(cluster, "rest", rest, 0);
		report(cluster, "14,000 changes a day", run(cluster, LOAD_SECONDS, CHANGES_PER_SECOND), rest.callsPerSecond());
		report(cluster, "50 changes/s", run(cluster, BURST_SECONDS, BURST_RATE), rest.callsPerSecond());
		cluster.time().run(WARM_UP_SECONDS);
		cluster.takeTimes();
		measureOutages(cluster);
	}

	private void measureServices() {
		print("| services with free slots | heartbeat bytes/s per node | all bytes/s per node, mean |");
		for (int services : SERVICES) {
			VirtualCluster cluster = start(new int[] { 13, 7 }, services);
			Run run = run(cluster, REST_SECONDS, CHANGES_PER_SECOND);
			print("| %d | %.0f | %.0f |", services, run.byKind().get(0), run.meanBytes());
		}
	}

	private VirtualCluster start(int[] size, int services) {
		VirtualCluster cluster = new VirtualCluster(this.seed, size[0], size[1], services, this.otherZoneDelayMicros);
		cluster.time().run(WARM_UP_SECONDS);
		for (VirtualEntry entry : cluster.entries()) {
			if (!entry.isReady()) {
				throw new IllegalStateException("not ready after the warm-up: " + entry.vm());
			}
		}
		cluster.takeTimes();
		return cluster;
	}

	private Run run(VirtualCluster cluster, double seconds, double rate) {
		long calls = calls(cluster);
		long storeBytes = cluster.store().valueBytes();
		List<Long> before = bytes(cluster, MessageKind.values());
		List<List<Long>> kindsBefore = bytesByKind(cluster);
		double end = cluster.time().nowMicros() / 1e6 + seconds;
		int changes = 0;
		while (rate > 0) {
			double pause = -Math.log(1 - cluster.uniform()) / rate;
			if (cluster.time().nowMicros() / 1e6 + pause > end) {
				break;
			}
			cluster.time().run(pause);
			cluster.accept(cluster.randomTeam());
			changes++;
		}
		cluster.time().run(Math.max(0, end - cluster.time().nowMicros() / 1e6));
		List<Long> after = bytes(cluster, MessageKind.values());
		List<Double> perNode = perSecond(before, after, seconds);
		List<List<Long>> kindsAfter = bytesByKind(cluster);
		List<Double> byKind = new ArrayList<>();
		for (int i = 0; i < KINDS.size(); i++) {
			byKind.add(mean(perSecond(kindsBefore.get(i), kindsAfter.get(i), seconds)));
		}
		double callsPerSecond = (calls(cluster) - calls) / seconds;
		double storeBytesPerSecond = (cluster.store().valueBytes() - storeBytes) / seconds;
		return new Run(changes, seconds, callsPerSecond, mean(perNode),
				perNode.stream().mapToDouble(Double::doubleValue).max().orElse(0), byKind, storeBytesPerSecond);
	}

	private void measureOutages(VirtualCluster cluster) {
		List<Double> caughtUp = new ArrayList<>();
		List<Double> fresh = new ArrayList<>();
		for (int i = 0; i < OUTAGES; i++) {
			cluster.time().run(1 + cluster.uniform());
			cluster.takeTimes();
			cluster.store().setDown(true);
			// Accepted in the last moment before the outage: nobody has seen it.
			cluster.accept(cluster.randomTeam());
			cluster.time().run(OUTAGE_SECONDS);
			cluster.store().setDown(false);
			cluster.time().run(SETTLE_SECONDS);
			for (double seconds : cluster.takeTimes()) {
				caughtUp.add(seconds - OUTAGE_SECONDS);
			}
			cluster.store().setDown(true);
			cluster.time().run(OUTAGE_SECONDS);
			cluster.store().setDown(false);
			cluster.accept(cluster.randomTeam());
			cluster.time().run(SETTLE_SECONDS);
			fresh.addAll(cluster.takeTimes());
		}
		caughtUp.sort(null);
		fresh.sort(null);
		outageRow(cluster, "unseen before an outage, from recovery", caughtUp);
		outageRow(cluster, "accepted at recovery", fresh);
	}

	private void outageRow(VirtualCluster cluster, String scenario, List<Double> times) {
		print("| %d | %s | %s | %s | %s | %d of %d | | | | | | | | |", cluster.size(), scenario, quantile(times, 0.5),
				quantile(times, 0.99), quantile(times, 1), times.size(), OUTAGES);
	}

	private void report(VirtualCluster cluster, String scenario, Run run, double callsAtRest) {
		cluster.time().run(WARM_UP_SECONDS);
		List<Double> times = cluster.takeTimes();
		// A change costs its author one read and one write besides the watches.
		double perChange = (run.changes() > 0)
				? 2 + (run.callsPerSecond() - callsAtRest) * run.seconds() / run.changes() : 0;
		print("| %d | %s | %s | %s | %s | %d of %d | %.2f | %.1f | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f |",
				cluster.size(), scenario, quantile(times, 0.5), quantile(times, 0.99), quantile(times, 1), times.size(),
				run.changes(), run.callsPerSecond(), perChange, run.meanBytes(), run.maxBytes(), run.byKind().get(0),
				run.byKind().get(1), run.byKind().get(2), run.storeBytes());
		if (cluster.openChanges() > 0) {
			throw new IllegalStateException("changes are not in force everywhere");
		}
	}

	private static long calls(VirtualCluster cluster) {
		return cluster.store().watches() + cluster.store().lists();
	}

	private static List<Long> bytes(VirtualCluster cluster, MessageKind... kinds) {
		List<Long> bytes = new ArrayList<>();
		for (VirtualEntry entry : cluster.entries()) {
			long sum = 0;
			for (MessageKind kind : kinds) {
				sum += entry.meter().sentOf(kind).bytes() + entry.meter().receivedOf(kind).bytes();
			}
			bytes.add(sum);
		}
		return bytes;
	}

	private static List<List<Long>> bytesByKind(VirtualCluster cluster) {
		return KINDS.stream().map((kind) -> bytes(cluster, kind)).toList();
	}

	private static List<Double> perSecond(List<Long> before, List<Long> after, double seconds) {
		List<Double> rates = new ArrayList<>();
		for (int i = 0; i < before.size(); i++) {
			rates.add((after.get(i) - before.get(i)) / seconds);
		}
		return rates;
	}

	private static double mean(List<Double> values) {
		return values.stream().mapToDouble(Double::doubleValue).average().orElse(0);
	}

	private static String quantile(List<Double> sorted, double share) {
		if (sorted.isEmpty()) {
			return "-";
		}
		return String.format(Locale.ROOT, "%.3f", sorted.get((int) Math.min(sorted.size() - 1, share * sorted.size())));
	}

	private void print(String format, Object... values) {
		this.out.println(String.format(Locale.ROOT, format, values));
	}

	private record Run(int changes, double seconds, double callsPerSecond, double meanBytes, double maxBytes,
			List<Double> byKind, double storeBytes) {
	}

}
