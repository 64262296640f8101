package io.lentilstream.requests;

import java.util.Collection;

import io.lentilstream.model.Urgency;

/**
 * Weighted fair sharing between teams. Of the teams that have a queued request of the
 * urgency and are below their quota, the one that uses the fewest slots relative to its
 * weight is next. The share of an idle team is available to the others.
 */
final class FairShareRule {

	private FairShareRule() {
	}

	/**
	 * Returns the team whose request is dispatched next.
	 * @param teams the teams of the pool
	 * @param urgency the urgency to dispatch
	 * @param capacity the slots of the pool
	 * @param passedOver teams whose queued requests cannot be dispatched now
	 * @return the team, or {@code null} if no team has a request that may be dispatched
	 */
	static TeamQueue chooseTeam(Collection<TeamQueue> teams, Urgency urgency, int capacity,
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
