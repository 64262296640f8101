package io.lentilstream.tasks.scheduling;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.lentilstream.model.Resources;
import io.lentilstream.model.TeamId;
import io.lentilstream.model.Urgency;

/**
 * The resource usage, quota and task classes of a team.
 */
final class TeamRecord {

	final TeamId id;

	final Map<TaskClass.Key, TaskClass> classes = new HashMap<>();

	/** Task classes that are ready for placement, indexed by urgency. */
	final List<ArrayDeque<TaskClass>> readyClasses = new ArrayList<>();

	/** Task classes that wait because the team is at its hard limit. */
	final List<TaskClass> limitedClasses = new ArrayList<>();

	Resources used = Resources.NONE;

	Resources hardLimit;

	double weight = 1;

	double weightedShare;

	TeamRecord(TeamId id) {
		this.id = id;
		for (int i = 0; i < Urgency.values().length; i++) {
			this.readyClasses.add(new ArrayDeque<>());
		}
	}

	boolean allows(Resources size) {
		return this.hardLimit == null || this.used.plus(size).fitsWithin(this.hardLimit);
	}

	/**
	 * Sets the resource usage and recomputes the weighted dominant share.
	 * @param usage the new usage
	 * @param total the capacity of the shard
	 */
	void setUsed(Resources usage, Resources total) {
		this.used = usage;
		this.weightedShare = usage.dominantShareOf(total) / this.weight;
	}

}
