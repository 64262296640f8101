package io.lentilstream.benchmarks.slopes;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

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

/**
 * Measures the memory and the log bytes of answered request records by their number and
 * by the size of the body and the answer.
 */
final class RequestRecordMemorySlope implements SlopeMeasurement {

	private static final KindName KIND = new KindName("payment");

	private static final EndpointId ENDPOINT = new EndpointId("endpoint-1");

	private static final int BODY_BYTES = 256;

	private static final int DIGEST_BYTES = 32;

	private final int[] records;

	private final int[] bodyBytes;

	RequestRecordMemorySlope(int[] records, int[] bodyBytes) {
		this.records = records;
		this.bodyBytes = bodyBytes;
	}

	@Override
	public List<Slope> measure() {
		List<SlopePoint> byCount = new ArrayList<>();
		List<SlopePoint> logBytes = new ArrayList<>();
		for (int count : this.records) {
			byCount.add(new SlopePoint(count,
					CostMeter.retainedBytes(() -> new Run().answer(count, BODY_BYTES).requestRecords)));
			logBytes.add(new SlopePoint(count, new Run().answer(count, BODY_BYTES).loggedBytes));
		}
		List<SlopePoint> bySize = new ArrayList<>();
		int fixed = this.records[0];
		for (int size : this.bodyBytes) {
			bySize.add(new SlopePoint(size,
					(double) CostMeter.retainedBytes(() -> new Run().answer(fixed, size).requestRecords) / fixed));
		}
		return List.of(Slope.of("request-record-memory", "bytes", "records", byCount),
				Slope.of("request-record-memory-by-body", "bytes per record", "bytes of body and of answer", bySize),
				Slope.of("request-record-log-bytes", "bytes", "records", logBytes));
	}

	/**
	 * Is one shard of records whose log takes every entry at once.
	 */
	private static final class Run {

		private final RequestRecords requestRecords = new RequestRecords(RequestRecordSettings.defaults(),
				new ShardId("region", 0), new Epoch(1));

		private final MonotonicTime now = MonotonicTime.ofMillis(1);

		private long loggedBytes;

		Run answer(int count, int bodySize) {
			this.requestRecords.recover(this.now, Optional.empty(), List.of());
			for (int i = 0; i < count; i++) {
				RecordKey key = new RecordKey(new TeamId("team"), new IdempotencyKey("payment-" + i));
				List<RecordAction> actions = commit(this.requestRecords.offer(this.now, key, KIND, new byte[bodySize],
						new byte[DIGEST_BYTES], this.now.plusMillis(3_600_000), Optional.of(ENDPOINT)));
				for (RecordAction action : actions) {
					if (action instanceof RecordAction.SendAttempt send) {
						commit(this.requestRecords.attemptCompleted(this.now, key, send.attempt(),
								new EndpointOutcome.Answered(200, "application/json", new byte[bodySize])));
					}
				}
			}
			if (this.requestRecords.size() != count) {
				throw new IllegalStateException("only " + this.requestRecords.size() + " of " + count + " records");
			}
			return this;
		}

		private List<RecordAction> commit(RecordStep step) {
			if (step.entries().isEmpty()) {
				return step.actions();
			}
			step.entries().forEach((entry) -> this.loggedBytes += entry.length);
			List<RecordAction> actions = new ArrayList<>(step.actions());
			actions.addAll(this.requestRecords.commitCompleted(this.now, step.id()).actions());
			return actions;
		}

	}

}
