package io.lentilstream.entry.records;

import java.util.Optional;

import io.lentilstream.model.KindName;
import io.lentilstream.model.TeamId;

/**
 * Finds kinds of deferrable requests in the settings in force.
 */
@FunctionalInterface
public interface DeferrableKindDirectory {

	/**
	 * Finds a kind.
	 * @param team the team
	 * @param kind the kind
	 * @return the kind, if the settings name it
	 */
	Optional<DeferrableKind> find(TeamId team, KindName kind);

}
