package io.lentilstream.benchmarks.shards;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Random;

import io.lentilstream.clients.EndpointOutcome;
import io.lentilstream.model.EndpointId;
import io.lentilstream.model.Epoch;
import io.lentilstream.model.IdempotencyKey;
import io.lentilstream.model.KindName;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.ShardId;
import io.lentilstream.model.TeamId;
import io.lentilstream.requests.records.RecordAction;
import io.lentilstream.requests.records.RecordKey;
import io.lentilstream.requests.records.RecordStep;
import io.lentilstream.requests.records.RequestRecordSettings;
import io.lentilstream.requests.records.RequestRecords;
import io.lentilstream.shards.ownership.ShardScope;

/**
 * Prints the tables of the section "Shards and the shard log" of docs/measurements.md.
 * The only argument is the seed.
 */
public final class ShardMeasurements {

	/** Bytes of a log entry: kind, task id, worker index and times. */
	private static final int ENTRY_BYTES = 64;

	/** Bytes of a commit; 350 of them stay below the distance of two snapshots. */
	private static final int RECORD_BYTES = 2_500;

	private static final int MEGABYTE = 1_000_000;

	private final PrintStream out;

	private final Random random;

	private ShardMeasurements(PrintStream out, long seed) {
		this.out = out;
		this.random = new Random(seed);
	}

	/**
	 * Runs all measurements.
	 * @param arguments the seed
	 */
	public static void main(String[] arguments) {
		ShardMeasurements measurements = new ShardMeasurements(System.out, Long.parseLong(arguments[0]));
		measurements.ownershipCalls();
		measurements.takeOvers();
		measurements.writesPerEntry();
		measurements.recovery();
		measurements.recordBytes();
	}

	private void ownershipCalls() {
		print("| entry VMs | zone shards | region shards | reads/s per VM | writes/s per VM |");
		for (int shards : new int[] { 8, 64 }) {
			for (int vms : new int[] { 1, 2, 4, 7 }) {
				OwnershipRun run = new OwnershipRun(
						List.of(new ShardScope("zone-1", shards), new ShardScope("region-1", shards)));
				for (int i = 0; i < vms; i++) {
					run.start("vm-" + i);
				}
				run.run(120_000);
				run.store().resetCounts();
				run.run(60_000);
				print("| %d | %d | %d | %.2f | %.2f |", vms, shards, shards, run.store().reads() / 60.0 / vms,
						run.store().writes() / 60.0 / vms);
			}
		}
	}

	private void takeOvers() {
		List<Long> millis = new ArrayList<>();
		for (int i = 0; i < 50; i++) {
			OwnershipRun run = new OwnershipRun(List.of(new ShardScope("zone-1", 8)));
			for (int vm = 0; vm < 7; vm++) {
				run.start("vm-" + vm);
				run.run(10 * this.random.nextInt(300));
			}
			run.run(120_000 + 10 * this.random.nextInt(600));
			millis.add(run.takeOverMillis("vm-" + this.random.nextInt(7), 8));
		}
		millis.sort(null);
		print("| takeovers | median ms after the lease lapsed | longest |");
		print("| %d | %d | %d |", millis.size(), millis.get(millis.size() / 2), millis.get(millis.size() - 1));
	}

	private void writesPerEntry() {
		print("| entries/s | committed | refused | writes per 1,000 entries | bytes written per entry |");
		for (int rate : new int[] { 1, 10, 55, 165, 500, 2_000 }) {
			MemoryStore store = new MemoryStore();
			LogRun run = new LogRun(store, 1, bytes(600_000));
			run.recover();
			store.resetCounts();
			run.append(rate * 300L, rate, bytes(ENTRY_BYTES));
			run.run(2_000);
			print("| %d | %d | %d | %.1f | %.0f |", rate, run.committed(), run.refused(),
					store.writes() * 1_000.0 / run.committed(), (double) store.writtenBytes() / run.committed());
		}
	}

	private void recovery() {
		print("| snapshot MB | log records | store calls | ms of store calls | ms of computing, median of 5 |");
		for (int megabytes : new int[] { 0, 1, 10 }) {
			for (int records : new int[] { 0, 100, 350 }) {
				List<Double> computing = new ArrayList<>();
				LogRun next = null;
				long callMillis = 0;
				for (int i = 0; i < 5; i++) {
					MemoryStore store = filled(megabytes * MEGABYTE, records);
					next = new LogRun(store, 2, bytes(0));
					long start = System.nanoTime();
					callMillis = next.recover();
					computing.add((System.nanoTime() - start) / 1e6);
				}
				computing.sort(null);
				print("| %d | %d | %d | %d | %.1f |", megabytes, records, next.calls(), callMillis, computing.get(2));
			}
		}
	}

	private MemoryStore filled(int snapshotBytes, int records) {
		MemoryStore store = new MemoryStore();
		LogRun first = new LogRun(store, 1, bytes(snapshotBytes));
		first.recover();
		if (snapshotBytes > 0) {
			// A snapshot is asked for after 360 records.
			first.appendRecords(360, bytes(ENTRY_BYTES));
			first.run(60_000);
		}
		first.appendRecords(records, bytes(RECORD_BYTES));
		return store;
	}

	private void recordBytes() {
		RequestRecords records = new RequestRecords(RequestRecordSettings.defaults(), new ShardId("region-1", 0),
				new Epoch(1));
		MonotonicTime now = MonotonicTime.ofMillis(0);
		RecordKey key = new RecordKey(new TeamId("nyabugogo"), new IdempotencyKey("separation-2026-000001"));
		RecordStep accept = records.offer(now, key, new KindName("separation"), bytes(100), bytes(32),
				now.plusMillis(3_600_000), Optional.of(new EndpointId("endpoint-17")));
		records.commitCompleted(now, accept.id());
		RecordAction.SendAttempt send = accept.actions()
			.stream()
			.filter(RecordAction.SendAttempt.class::isInstance)
			.map(RecordAction.SendAttempt.class::cast)
			.findFirst()
			.orElseThrow();
		RecordStep answer = records.attemptCompleted(now, key, send.attempt(),
				new EndpointOutcome.Answered(200, "application/json", bytes(100)));
		records.commitCompleted(now, answer.id());
		print("| accepted, body 100 B | dispatching | answered, body 100 B | in the snapshot |");
		print("| %d | %d | %d | %d |", accept.entries().get(0).length, accept.entries().get(1).length,
				answer.entries().get(0).length, records.snapshot(now).length);
	}

	private byte[] bytes(int length) {
		byte[] bytes = new byte[length];
		this.random.nextBytes(bytes);
		return bytes;
	}

	private void print(String line, Object... arguments) {
		this.out.println(String.format(Locale.ROOT, line, arguments));
	}

}
