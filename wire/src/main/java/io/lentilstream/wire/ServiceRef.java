package io.lentilstream.wire;

import io.lentilstream.model.ServiceName;
import io.lentilstream.model.TeamId;

/**
 * Names a service together with its team.
 *
 * @param team the team
 * @param service the service within the team
 */
public record ServiceRef(TeamId team, ServiceName service) implements Comparable<ServiceRef> {

	@Override
	public int compareTo(ServiceRef other) {
		int order = this.team.compareTo(other.team);
		return (order != 0) ? order : this.service.compareTo(other.service);
	}

	@Override
	public String toString() {
		return this.team + "/" + this.service;
	}

}
