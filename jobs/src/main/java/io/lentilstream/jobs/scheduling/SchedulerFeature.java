package io.lentilstream.jobs.scheduling;

import java.util.Locale;

/**
 * A part of the scheduler that is only in force where the settings of a deployment enable
 * it.
 */
public enum SchedulerFeature {

	/** Run times are learned from reports in place of trusting callers' estimates. */
	LEARNED_RUN_TIMES,

	/** Queues that compete for capacity get weighted shares of it. */
	WEIGHTED_SHARES,

	/** Jobs that cannot be of use any more are refused at once. */
	ADMISSION_CONTROL,

	/** Tasks wait for a place near their data or their group while the wait pays. */
	PLACE_WAITS,

	/** Speed and failure rate of each VM are learned and used for placement. */
	WORKER_PROFILES,

	/** The demand of the next seconds is forecast and capacity is kept for it. */
	DEMAND_FORECAST;

	/**
	 * Returns the name of the feature in settings.
	 * @return the name, in lower case with hyphens
	 */
	public String settingName() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
