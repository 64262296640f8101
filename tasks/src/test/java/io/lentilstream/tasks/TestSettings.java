package io.lentilstream.tasks;

import java.time.Duration;

/**
 * Builds settings for tests.
 */
final class TestSettings {

	private TestSettings() {
	}

	/**
	 * Returns the defaults with an outage grace of 30 s, so that holds end within short
	 * sequences.
	 * @return the settings
	 */
	static TaskSettings shortGrace() {
		TaskSettings defaults = TaskDefaults.settings();
		return new TaskSettings(defaults.taskLease(), defaults.clockMargin(), Duration.ofSeconds(30),
				defaults.reservedShare(), defaults.urgentStart(), defaults.checkpointPatience(), defaults.probation(),
				defaults.failuresBeforeProbation(), defaults.distinctWorkersBeforeFailure(),
				defaults.evictionsPerMinute(), defaults.jobRetention(), defaults.maxUnfinishedTasks(),
				defaults.maxTasksPerJob(), defaults.unplaceableAfter(), defaults.interferenceHalfLife());
	}

}
