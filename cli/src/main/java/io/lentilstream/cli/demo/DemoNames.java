package io.lentilstream.cli.demo;

import java.util.List;

import io.lentilstream.model.AvailabilityZoneId;
import io.lentilstream.model.KindName;
import io.lentilstream.model.ServiceName;
import io.lentilstream.model.TeamId;

/**
 * The names and keys that the demonstration uses.
 */
final class DemoNames {

	static final TeamId TEAM = new TeamId("orchard");

	static final ServiceName SERVICE = new ServiceName("confirm");

	static final KindName PAYMENT = new KindName("payment");

	static final KindName LEDGER = new KindName("ledger");

	static final String REGION = "hills";

	static final List<AvailabilityZoneId> ZONES = List.of(new AvailabilityZoneId("hills-a"),
			new AvailabilityZoneId("hills-b"));

	static final String ADMINISTRATOR_KEY = "demo-administrator-key";

	static final String PEER_KEY = "demo-peer-key-of-all-entry-vms";

	private DemoNames() {
	}

}
