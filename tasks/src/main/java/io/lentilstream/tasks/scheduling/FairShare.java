package io.lentilstream.tasks.scheduling;

/**
 * The fair share: the weighted dominant share that every team would have if all teams
 * with work divided the shard among them. A team may borrow idle capacity above it, since
 * placement only orders teams by their share.
 */
final class FairShare {

	// Without slack, teams near the fair share would evict each other's tasks in turn.
	private static final double SLACK = 0.1;

	private final ShardState state;

	private double level = Double.POSITIVE_INFINITY;

	FairShare(ShardState state) {
		this.state = state;
	}

	void refresh() {
		double weights = 0;
		for (TeamRecord team : this.state.teams.values()) {
			if (team.weightedShare > 0 || isWaiting(team)) {
				weights += team.weight;
			}
		}
		this.level = (weights > 0) ? 1 / weights : Double.POSITIVE_INFINITY;
	}

	double level() {
		return this.level;
	}

	boolean isAbove(TeamRecord team) {
		return team.weightedShare > this.level * (1 + SLACK);
	}

	boolean isBelow(TeamRecord team) {
		return team.weightedShare < this.level * (1 - SLACK);
	}

	private static boolean isWaiting(TeamRecord team) {
		for (TaskClass taskClass : team.classes.values()) {
			if (taskClass.status == TaskClass.Status.BLOCKED || taskClass.status == TaskClass.Status.READY) {
				return true;
			}
		}
		return false;
	}

}
