package io.lentilstream.requests;

import java.util.Collection;

import io.lentilstream.model.Urgency;

/**
 * Chooses the team whose request is dispatched next: among the teams that have a waiting
 * request of the urgency and are below their quota, the one that uses the fewest slots
 * for its weight. An idle team's share goes to the others.
 */
final class FairShareRule {

	private FairShareRule() {
	}

	/**
	 * Chooses the next team.
	 * @param teams the teams of the pool
	 * @param urgency the urgency to dispatch
	 * @param capacity the slots of the pool
	 * @param passedOver teams whose waiting requests cannot start now
	 * @return the team, or {@code null} if none has a request that may start
	 */
	static TeamQueue next(Collection<TeamQueue> teams, Urgency urgency, int capacity,
			Collection<TeamQueue> passedOver) {
		TeamQueue best = null;
		double bestUse = 0;
		for (TeamQueue team : teams) {
			if (team.waiting(urgency).isEmpty() || team.atQuota(capacity) || passedOver.contains(team)) {
				continue;
			}
			double use = team.inUse() / team.weight();
			if (best == null || use < bestUse) {
				best = team;
				bestUse = use;
			}
		}
		return best;
	}

}
