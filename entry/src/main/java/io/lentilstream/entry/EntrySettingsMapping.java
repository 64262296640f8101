package io.lentilstream.entry;

import java.time.Duration;

import io.lentilstream.settings.process.EntrySettings;
import io.lentilstream.shards.log.ShardLogSettings;
import io.lentilstream.shards.ownership.OwnershipSettings;
import io.lentilstream.tasks.TaskDefaults;
import io.lentilstream.tasks.TaskSettings;

/**
 * The mapping of the process settings to the settings of the decision libraries.
 */
final class EntrySettingsMapping {

	/**
	 * Limit of store writes per second for the shard logs of the whole system. The store
	 * sustains several hundred writes per second; leases and settings need some of them.
	 */
	private static final double LOG_WRITES_PER_SECOND = 300;

	private static final int RENEWALS_PER_LEASE = 3;

	private static final int LISTS_PER_LEASE = 5;

	private EntrySettingsMapping() {
	}

	static OwnershipSettings ownership(EntrySettings settings) {
		Duration lease = settings.leases().storeLease();
		OwnershipSettings defaults = OwnershipSettings.defaults();
		return new OwnershipSettings(lease, settings.leases().storeMargin(), lease.dividedBy(RENEWALS_PER_LEASE),
				defaults.retryInterval(), lease.dividedBy(LISTS_PER_LEASE), lease.dividedBy(2), defaults.releaseDelay(),
				defaults.exclusionDelay(), defaults.exclusionDuration());
	}

	static ShardLogSettings logs(EntrySettings settings, int systemLogCount) {
		ShardLogSettings defaults = ShardLogSettings.defaults();
		return new ShardLogSettings(defaults.slots(), defaults.reservedSlots(), settings.shards().commitInterval(),
				LOG_WRITES_PER_SECOND / systemLogCount, defaults.writeBurst(), defaults.retryInterval(),
				defaults.maxCommitBytes(), defaults.maxQueuedBytes(), defaults.chunkBytes());
	}

	static TaskSettings tasks(EntrySettings settings) {
		TaskSettings defaults = TaskDefaults.settings();
		return new TaskSettings(settings.leases().taskLease(), settings.leases().clockMargin(),
				settings.leases().outageGrace(), defaults.reservedShare(), defaults.urgentStartDeadline(),
				defaults.checkpointTimeout(), defaults.probation(), defaults.failuresBeforeProbation(),
				defaults.distinctWorkersBeforeFailure(), defaults.evictionsPerMinute(), defaults.jobRetention(),
				defaults.maxUnfinishedTasks(), defaults.maxTasksPerJob(), defaults.unplaceableTimeout(),
				defaults.interferenceHalfLife());
	}

}
