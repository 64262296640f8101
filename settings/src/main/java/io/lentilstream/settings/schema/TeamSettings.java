package io.lentilstream.settings.schema;

import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

import io.lentilstream.model.KindName;
import io.lentilstream.model.ServiceName;
import io.lentilstream.model.TeamId;

/**
 * The settings of one team.
 *
 * @param team the team
 * @param services the services by name
 * @param kinds the kinds of work by name
 * @param quota the quota
 */
public record TeamSettings(TeamId team, SortedMap<ServiceName, ServiceSettings> services,
		SortedMap<KindName, KindSettings> kinds, QuotaSettings quota) {

	/**
	 * Reads the settings of a team.
	 * @param team the team
	 * @param values the values of its document by path
	 * @return the settings, with defaults for what is not set
	 */
	public static TeamSettings of(TeamId team, Map<String, String> values) {
		String root = "/teams/" + team + "/";
		SortedMap<ServiceName, ServiceSettings> services = new TreeMap<>();
		for (String name : SettingsReader.childNames(values, root + "services/")) {
			ServiceName service = new ServiceName(name);
			SettingsReader reader = new SettingsReader(values, root + "services/" + name + "/");
			services.put(service, ServiceSettings.of(service, reader));
		}
		SortedMap<KindName, KindSettings> kinds = new TreeMap<>();
		for (String name : SettingsReader.childNames(values, root + "kinds/")) {
			KindName kind = new KindName(name);
			kinds.put(kind, KindSettings.of(kind, new SettingsReader(values, root + "kinds/" + name + "/")));
		}
		return new TeamSettings(team, Collections.unmodifiableSortedMap(services),
				Collections.unmodifiableSortedMap(kinds),
				QuotaSettings.of(new SettingsReader(values, root + "quota/")));
	}

}
