package io.lentilstream.tasks;

import java.util.Objects;

import io.lentilstream.model.Resources;
import io.lentilstream.model.TeamId;

/**
 * The quota of a team within this shard.
 *
 * @param team the team
 * @param hardLimit the maximum of the total resources of the team's tasks
 * @param weight the weight of the team's fair share; greater than 0
 */
public record TeamQuota(TeamId team, Resources hardLimit, double weight) {

	public TeamQuota {
		Objects.requireNonNull(team);
		Objects.requireNonNull(hardLimit);
		if (!(weight > 0)) {
			throw new IllegalArgumentException("weight must be greater than 0");
		}
	}

}
