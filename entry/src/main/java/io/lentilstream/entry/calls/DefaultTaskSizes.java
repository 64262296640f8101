package io.lentilstream.entry.calls;

import io.lentilstream.model.KindName;
import io.lentilstream.model.Resources;
import io.lentilstream.model.TeamId;

/**
 * The default sizes of tasks, used for tasks that do not declare a size.
 */
@FunctionalInterface
public interface DefaultTaskSizes {

	/**
	 * Returns the default size of a kind.
	 * @param team the team
	 * @param kind the kind
	 * @return the size
	 * @throws IllegalArgumentException if the team has no such kind
	 */
	Resources sizeOf(TeamId team, KindName kind);

}
