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

	/** Tasks wait for a place near their data or their group while the wait pays. */
	PLACE_WAITS,

	/** Speed and failure rate of each VM are learned and used for placement. */
	WORKER_PROFILES,

	/** Best-effort runs that stay paused move to VMs on which they can work. */
	PAUSED_RUN_MOVES;

	/**
	 * Returns the name of the feature in settings.
	 * @return the name, in lower case with hyphens
	 */
	public String settingName() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
