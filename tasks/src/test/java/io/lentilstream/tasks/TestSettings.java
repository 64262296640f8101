package io.lentilstream.tasks;

import java.time.Duration;

/**
 * Factory methods for the settings of tests.
 */
final class TestSettings {

	private TestSettings() {
	}

	/**
	 * Returns the defaults with an outage grace of 30 s, so that waits for a previous
	 * owner end within short event sequences.
	 * @return the settings
	 */
	static TaskSettings shortGrace() {
		return settings(Duration.ofSeconds(30), TaskDefaults.EVICTIONS_PER_MINUTE);
	}

	/**
	 * Returns the defaults with another limit on evictions.
	 * @param perMinute the maximum evictions per minute
	 * @return the settings
	 */
	static TaskSettings evictionsPerMinute(int perMinute) {
		return settings(TaskDefaults.OUTAGE_GRACE, perMinute);
	}

	private static TaskSettings settings(Duration outageGrace, int evictionsPerMinute) {
		TaskSettings defaults = TaskDefaults.settings();
		return new TaskSettings(defaults.taskLease(), defaults.clockMargin(), outageGrace, defaults.reservedShare(),
				defaults.urgentStartDeadline(), defaults.checkpointTimeout(), defaults.probation(),
				defaults.failuresBeforeProbation(), defaults.distinctWorkersBeforeFailure(), evictionsPerMinute,
				defaults.jobRetention(), defaults.maxUnfinishedTasks(), defaults.maxTasksPerJob(),
				defaults.unplaceableTimeout(), defaults.interferenceHalfLife());
	}

}
