package io.lentilstream.jobs.scheduling;

/**
 * Foretells the tails of the serving tasks of a VM from their last report and from what
 * has changed since.
 */
final class TailForecast {

	private static final double FULL_PACE = 100;

	/**
	 * Growth of the logarithm of a tail, if such tasks filled the whole VM, below which
	 * they count as harmless.
	 */
	private static final double HARMLESS = 0.3;

	private final InterferenceModel model;

	TailForecast(InterferenceModel model) {
		this.model = model;
	}

	InterferenceModel model() {
		return this.model;
	}

	/**
	 * Returns the logarithm of the tail that a serving task will have, as a part of its
	 * target, with the filling tasks that are there now.
	 * @param serving the run of the serving task
	 * @return the logarithm
	 */
	double expected(Run serving) {
		double log = InterferenceModel.logarithm(ratio(serving));
		for (Run other : serving.worker.runs.values()) {
			if (other.task.spec().traits().bestEffort()) {
				log += sensitivity(serving, other.task) * (plannedShare(other) - reportedShare(other));
			}
		}
		return log;
	}

	double sensitivity(Run serving, Task filling) {
		return this.model.sensitivity(serving.task.spec().image(), filling.spec().image());
	}

	/**
	 * Tells whether filling tasks may be left alone although a serving task misses its
	 * target, since the task misses it without them too.
	 * @param serving the run of the serving task
	 * @param filling a filling task
	 * @return {@code true} if they are known not to disturb it
	 */
	boolean harmless(Run serving, Task filling) {
		return sensitivity(serving, filling) < HARMLESS;
	}

	static double ratio(Run serving) {
		return serving.figure / serving.task.spec().targetMillis();
	}

	static double share(Task filling, Worker worker) {
		return (double) filling.spec().size().milliCores() / Math.max(1, worker.listing.capacity().milliCores());
	}

	static double reportedShare(Run filling) {
		return filling.figure / Math.max(1, filling.worker.listing.capacity().milliCores());
	}

	private static double plannedShare(Run filling) {
		return share(filling.task, filling.worker) * filling.pace / FULL_PACE;
	}

}
