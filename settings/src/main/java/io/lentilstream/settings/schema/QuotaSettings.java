package io.lentilstream.settings.schema;

import io.lentilstream.model.Resources;

/**
 * Holds the quota of one team.
 *
 * @param limit most resources of all tasks of the team
 * @param slots most endpoint slots that the team uses at once
 * @param weight fair share relative to other teams
 */
public record QuotaSettings(Resources limit, int slots, int weight) {

	static QuotaSettings of(SettingsReader reader) {
		return new QuotaSettings(
				new Resources(reader.number("cores"), reader.number("memory"), reader.number("accelerators")),
				reader.integer("slots"), reader.integer("weight"));
	}

}
