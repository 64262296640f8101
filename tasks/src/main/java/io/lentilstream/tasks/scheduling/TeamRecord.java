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
 * Holds what a team uses and the classes of its work that wait.
 */
final class TeamRecord {

	final TeamId id;

	final Map<TaskClass.Key, TaskClass> classes = new HashMap<>();

	/** The classes that can be tried, by urgency. */
	final List<ArrayDeque<TaskClass>> readyClasses = new ArrayList<>();

	/** The classes that the hard limit holds back. */
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
	 * Changes the use and the weighted dominant share.
	 * @param use the new use
	 * @param total the capacity of the shard
	 */
	void setUsed(Resources use, Resources total) {
		this.used = use;
		this.weightedShare = use.dominantShareOf(total) / this.weight;
	}

}
