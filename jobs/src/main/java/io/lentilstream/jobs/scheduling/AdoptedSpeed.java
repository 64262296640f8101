package io.lentilstream.jobs.scheduling;

/**
 * The speed of a best-effort run that a predecessor started, inferred from its reported
 * use of processor time, since reports do not tell speeds. Load pattern: a leader that is
 * replaced while hundreds of best-effort tasks are paused or slowed down.
 */
final class AdoptedSpeed {

	/** The share of its requested processor time from which a run is at full speed. */
	private static final double FULL_USE_SHARE = 0.9;

	private static final int FULL_SPEED = 100;

	private AdoptedSpeed() {
	}

	/**
	 * Infers the speed of an adopted run. The inferred speed is not confirmed, so that
	 * the throttle sends a speed as soon as it decides on one.
	 * @param run the run
	 * @param usedMilliCores the reported use, in thousandths of a core
	 */
	static void infer(Run run, double usedMilliCores) {
		if (!run.task.spec().traits().bestEffort()) {
			return;
		}
		double share = usedMilliCores / Math.max(1, run.task.spec().size().milliCores());
		if (share < FULL_USE_SHARE) {
			run.speedPercent = (int) Math.max(0, share * FULL_SPEED);
			run.speedConfirmed = false;
		}
	}

}
