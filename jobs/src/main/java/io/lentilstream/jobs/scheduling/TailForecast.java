package io.lentilstream.jobs.scheduling;

/**
 * Forecasts the tail latencies of the serving tasks of a VM from the last report and the
 * changes since.
 */
final class TailForecast {

	private static final double FULL_SPEED = 100;

	/**
	 * The increase of the natural logarithm of a tail latency, if best-effort tasks used
	 * the whole VM, below which they count as harmless.
	 */
	private static final double HARMLESS_SENSITIVITY = 0.3;

	private final InterferenceModel model;

	TailForecast(InterferenceModel model) {
		this.model = model;
	}

	InterferenceModel model() {
		return this.model;
	}

	/**
	 * Returns the natural logarithm of the expected ratio of a serving task's tail
	 * latency to its target, given the best-effort tasks that are now on the VM.
	 * @param serving the run of the serving task
	 * @return the logarithm
	 */
	double expectedLogRatio(Run serving) {
		double log = InterferenceModel.logRatio(ratio(serving));
		for (Run other : serving.worker.runs.values()) {
			if (other.task.spec().traits().bestEffort()) {
				log += sensitivity(serving, other.task) * (plannedShare(other) - reportedShare(other));
			}
		}
		return log;
	}

	double sensitivity(Run serving, Task bestEffort) {
		return this.model.sensitivity(serving.task.spec().image(), bestEffort.spec().image());
	}

	/**
	 * Tells whether a best-effort task need not be throttled when a serving task misses
	 * its latency target, since the target would be missed without it too.
	 * @param serving the run of the serving task
	 * @param bestEffort the best-effort task
	 * @return {@code true} if the best-effort task is known not to interfere
	 */
	boolean harmless(Run serving, Task bestEffort) {
		return sensitivity(serving, bestEffort) < HARMLESS_SENSITIVITY;
	}

	static double ratio(Run serving) {
		return serving.measurement / serving.task.spec().targetMillis();
	}

	static double requestedShare(Task bestEffort, Worker worker) {
		return (double) bestEffort.spec().size().milliCores() / Math.max(1, worker.listing.capacity().milliCores());
	}

	static double reportedShare(Run bestEffort) {
		return bestEffort.measurement / Math.max(1, bestEffort.worker.listing.capacity().milliCores());
	}

	private static double plannedShare(Run bestEffort) {
		return requestedShare(bestEffort.task, bestEffort.worker) * bestEffort.speedPercent / FULL_SPEED;
	}

}
