package io.lentilstream.tasks.scheduling;

/**
 * Computes the weighted dominant share that every team would have if all teams with work
 * shared the shard. Idle share may be borrowed, since placement only orders teams by
 * their share.
 */
final class FairShareRule {

	// Without slack, teams near the level would evict each other in turn.
	private static final double SLACK = 0.1;

	private final ShardState state;

	private double level = Double.POSITIVE_INFINITY;

	FairShareRule(ShardState state) {
		this.state = state;
	}

	void refresh() {
		double weights = 0;
		for (TeamRecord team : this.state.teams.values()) {
			if (team.share > 0 || isWaiting(team)) {
				weights += team.weight;
			}
		}
		this.level = (weights > 0) ? 1 / weights : Double.POSITIVE_INFINITY;
	}

	double level() {
		return this.level;
	}

	boolean isOver(TeamRecord team) {
		return team.share > this.level * (1 + SLACK);
	}

	boolean isUnder(TeamRecord team) {
		return team.share < this.level * (1 - SLACK);
	}

	private static boolean isWaiting(TeamRecord team) {
		for (WorkClass workClass : team.classes.values()) {
			if (workClass.status == WorkClass.Status.BLOCKED || workClass.status == WorkClass.Status.READY) {
				return true;
			}
		}
		return false;
	}

}
