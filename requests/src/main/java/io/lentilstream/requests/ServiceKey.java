package io.lentilstream.requests;

import java.util.Objects;

import io.lentilstream.model.ServiceName;
import io.lentilstream.model.TeamId;

/**
 * Identifies a service by its team and name.
 *
 * @param team the team
 * @param service the service of the team
 */
public record ServiceKey(TeamId team, ServiceName service) implements Comparable<ServiceKey> {

	public ServiceKey {
		Objects.requireNonNull(team, "team");
		Objects.requireNonNull(service, "service");
	}

	@Override
	public int compareTo(ServiceKey other) {
		int order = this.team.compareTo(other.team);
		return (order != 0) ? order : this.service.compareTo(other.service);
	}

	@Override
	public String toString() {
		return this.team + "/" + this.service;
	}

}
