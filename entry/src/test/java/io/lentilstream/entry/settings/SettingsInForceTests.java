package io.lentilstream.entry.settings;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.junit.jupiter.api.Test;

import io.lentilstream.administration.DocumentCodec;
import io.lentilstream.administration.StoredDocument;
import io.lentilstream.clients.StoreKey;
import io.lentilstream.membership.SettingsDocument;
import io.lentilstream.model.AvailabilityZoneId;
import io.lentilstream.model.KindName;
import io.lentilstream.model.Revision;
import io.lentilstream.model.ServiceName;
import io.lentilstream.model.TeamId;
import io.lentilstream.requests.ServiceKey;
import io.lentilstream.wire.PeerMessage;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against settings that revert to an earlier revision or that are converted
 * incorrectly for the components of the daemon.
 */
class SettingsInForceTests {

	private static final TeamId TEAM = new TeamId("bakery");

	private static final ServiceKey BREAD = new ServiceKey(TEAM, new ServiceName("bread"));

	private final SettingsInForce settings = new SettingsInForce();

	private void apply(String path, long revision, Map<String, String> values) {
		StoredDocument document = new StoredDocument(new Revision(revision), new TreeMap<>(values), List.of());
		this.settings.apply(new SettingsDocument(new StoreKey(path), document.revision(),
				new PeerMessage.Bytes(DocumentCodec.encodeWithoutHistory(path, document))));
	}

	private long timeout() {
		return this.settings.services((team) -> 0).get(BREAD).defaultTimeoutMillis();
	}

	@Test
	void ignoresAnEarlierRevisionThatArrivesLater() {
		apply("/teams/bakery", 3, Map.of("/teams/bakery/services/bread/timeout", "300ms"));
		apply("/teams/bakery", 2, Map.of("/teams/bakery/services/bread/timeout", "200ms"));
		assertThat(timeout()).isEqualTo(300);
		apply("/teams/bakery", 4, Map.of("/teams/bakery/services/bread/timeout", "400ms"));
		assertThat(timeout()).isEqualTo(400);
	}

	@Test
	void convertsAQuotaInSlotsToAShareOfTheListedSlots() {
		apply("/teams/bakery", 1,
				Map.of("/teams/bakery/services/bread/timeout", "1s", "/teams/bakery/quota/slots", "30"));
		assertThat(this.settings.services((team) -> 120).get(BREAD).policy().quota()).isEqualTo(0.25);
		assertThat(this.settings.services((team) -> 20).get(BREAD).policy().quota()).isEqualTo(1.0);
	}

	@Test
	void dividesATaskQuotaAmongAllShards() {
		apply("/teams/bakery", 1, Map.of("/teams/bakery/quota/cores", "48", "/teams/bakery/quota/accelerators", "3"));
		assertThat(this.settings.quotas(24)).singleElement().satisfies((quota) -> {
			assertThat(quota.hardLimit().milliCores()).isEqualTo(2_000);
			assertThat(quota.hardLimit().accelerators()).isEqualTo(1);
		});
	}

	@Test
	void findsOnlyDeferrableKindsWithAServiceOfTheTeam() {
		apply("/teams/bakery", 1,
				Map.of("/teams/bakery/services/bread/timeout", "2s", "/teams/bakery/kinds/order/class", "deferrable",
						"/teams/bakery/kinds/order/service", "bread", "/teams/bakery/kinds/report/class", "batch"));
		assertThat(this.settings.find(TEAM, new KindName("order"))).hasValueSatisfying((kind) -> {
			assertThat(kind.service()).isEqualTo(BREAD);
			assertThat(kind.timeoutMillis()).isEqualTo(2_000);
		});
		assertThat(this.settings.find(TEAM, new KindName("report"))).isEmpty();
		assertThat(this.settings.find(new TeamId("other"), new KindName("order"))).isEmpty();
	}

	@Test
	void returnsTheZonesOfTheRegionAndAlwaysItsOwn() {
		AvailabilityZoneId own = new AvailabilityZoneId("z2");
		assertThat(this.settings.zonesOf("r", own)).containsExactly(own);
		apply("/platform", 1, Map.of("/platform/zones/z1/region", "r", "/platform/zones/z3/region", "other"));
		assertThat(this.settings.zonesOf("r", own)).containsExactly(new AvailabilityZoneId("z1"), own);
	}

}
