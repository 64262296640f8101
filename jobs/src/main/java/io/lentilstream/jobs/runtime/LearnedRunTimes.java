package io.lentilstream.jobs.runtime;

import java.util.LinkedHashMap;
import java.util.Map;

import io.lentilstream.jobs.DecisionLog;
import io.lentilstream.jobs.StepSpec;
import io.lentilstream.jobs.carryover.CarriedKnowledge;
import io.lentilstream.jobs.codec.DecodeException;

/**
 * A predictor that learns run times from the ends of runs, for the queues whose callers
 * have estimated wrongly. Load pattern: callers whose estimates are off by a multiple, so
 * that latest starts computed from them are wrong.
 */
public final class LearnedRunTimes implements RunTimePredictor, CarriedKnowledge {

	/** The largest number of queues; the least recently used one is dropped. */
	static final int MAX_QUEUES = 32;

	/** The age by which carried evidence loses half of its weight, in milliseconds. */
	private static final double HALF_LIFE_MILLIS = 600_000;

	private final Map<String, QueueRunTimes> queues = new LinkedHashMap<>(16, 0.75F, true);

	private final RunTimePredictor estimates = RunTimePredictor.callersEstimates();

	private final DecisionLog log;

	/**
	 * Creates a predictor without evidence.
	 * @param log receives which queues' estimates are replaced
	 */
	public LearnedRunTimes(DecisionLog log) {
		this.log = log;
	}

	/**
	 * Learns from a step whose tasks have all ended.
	 * @param queue the queue of its job
	 * @param step the step
	 * @param length the measured run times of its tasks
	 */
	public void observe(String queue, StepSpec step, StepLength length) {
		QueueRunTimes times = this.queues.computeIfAbsent(queue, (name) -> new QueueRunTimes());
		boolean wrongBefore = times.estimatesWrong();
		times.observe(step, length);
		if (times.estimatesWrong() != wrongBefore) {
			this.log.append("estimates-judged", queue, "wrong", times.estimatesWrong(), "mean-factor",
					Math.round(100 * Math.exp(times.callersError())) / 100.0, "steps",
					Math.round(times.all().weight()));
		}
		if (this.queues.size() > MAX_QUEUES) {
			this.queues.remove(this.queues.keySet().iterator().next());
		}
	}

	@Override
	public RunTimePrediction predict(String queue, StepSpec step) {
		QueueRunTimes times = this.queues.get(queue);
		return (times != null && times.estimatesWrong()) ? times.predict(step) : this.estimates.predict(queue, step);
	}

	@Override
	public long predictStepMillis(String queue, StepSpec step) {
		QueueRunTimes times = this.queues.get(queue);
		return (times != null && times.estimatesWrong()) ? times.stepMillis(step)
				: this.estimates.predictStepMillis(queue, step);
	}

	@Override
	public String name() {
		return "run-times";
	}

	@Override
	public byte[] snapshot() {
		return this.queues.isEmpty() ? new byte[0] : RunTimesCodec.encode(this.queues);
	}

	@Override
	public void restore(byte[] snapshot, long ageMillis) throws DecodeException {
		if (snapshot.length == 0) {
			return;
		}
		Map<String, QueueRunTimes> restored = RunTimesCodec.decode(snapshot);
		double factor = Math.pow(0.5, Math.max(0, ageMillis) / HALF_LIFE_MILLIS);
		restored.values().forEach((times) -> times.discount(factor));
		// What this scheduler has observed itself is newer.
		restored.forEach(this.queues::putIfAbsent);
	}

}
