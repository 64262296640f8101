package io.lentilstream.benchmarks.slopes;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import io.lentilstream.clients.TaskReport;
import io.lentilstream.clients.http.PlatformJson;
import io.lentilstream.clients.http.PlatformMessages;

/**
 * Measures the bytes of the answer to one renewal and the processor time of reading it,
 * by the number of tasks of the worker. HTTP headers are not counted.
 */
final class WorkerRenewalSlope implements SlopeMeasurement {

	private final int[] tasks;

	private final int repeats;

	private final int rounds;

	WorkerRenewalSlope(int[] tasks, int repeats, int rounds) {
		this.tasks = tasks;
		this.repeats = repeats;
		this.rounds = rounds;
	}

	@Override
	public List<Slope> measure() {
		List<SlopePoint> bytes = new ArrayList<>();
		List<SlopePoint> nanos = new ArrayList<>();
		for (int count : this.tasks) {
			byte[] json = answer(count);
			bytes.add(new SlopePoint(count, json.length));
			nanos.add(new SlopePoint(count, CostMeter.median(this.rounds,
					() -> CostMeter.cpuNanos(() -> readAll(json)) / (double) this.repeats)));
		}
		return List.of(Slope.of("renewal-answer-bytes", "bytes per renewal", "tasks of the worker", bytes),
				Slope.of("renewal-answer-cpu", "ns per renewal", "tasks of the worker", nanos));
	}

	private static byte[] answer(int count) {
		Map<?, List<TaskReport>> running = TaskShardRun.fill(1, count).running();
		List<PlatformMessages.ReportMessage> reports = running.values()
			.iterator()
			.next()
			.stream()
			.map(PlatformJson::message)
			.toList();
		return PlatformJson.write(new PlatformMessages.ReportsAnswer(reports));
	}

	private void readAll(byte[] json) {
		for (int i = 0; i < this.repeats; i++) {
			if (PlatformJson.read(json, PlatformMessages.ReportsAnswer.class).isEmpty()) {
				throw new IllegalStateException("answer cannot be read");
			}
		}
	}

}
