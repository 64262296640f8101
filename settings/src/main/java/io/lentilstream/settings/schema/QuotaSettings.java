package io.lentilstream.settings.schema;

import io.lentilstream.model.Resources;

/**
 * The quota of one team.
 *
 * @param limit the maximum resources of all tasks of the team together
 * @param slots the maximum number of endpoint slots that the team uses at once
 * @param weight the weight of the team's fair share, relative to other teams
 */
public record QuotaSettings(Resources limit, int slots, int weight) {

	static QuotaSettings of(SettingsReader reader) {
		return new QuotaSettings(
				new Resources(reader.number("cores"), reader.number("memory"), reader.number("accelerators")),
				reader.integer("slots"), reader.integer("weight"));
	}

}
