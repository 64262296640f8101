package io.lentilstream.entry.records;

import java.util.Optional;

import io.lentilstream.model.KindName;
import io.lentilstream.model.TeamId;

/**
 * A lookup of kinds of deferrable requests in the settings in force.
 */
@FunctionalInterface
public interface DeferrableKindDirectory {

	/**
	 * Finds a kind.
	 * @param team the team
	 * @param kind the kind
	 * @return the kind, or empty if the settings contain no such kind
	 */
	Optional<DeferrableKind> find(TeamId team, KindName kind);

}
