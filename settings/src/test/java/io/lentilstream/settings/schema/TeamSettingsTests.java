package io.lentilstream.settings.schema;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import io.lentilstream.model.AvailabilityZoneId;
import io.lentilstream.model.KindName;
import io.lentilstream.model.Resources;
import io.lentilstream.model.ServiceName;
import io.lentilstream.model.TeamId;
import io.lentilstream.model.Urgency;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against settings that are read without a value, its unit or its default.
 */
class TeamSettingsTests {

	@Test
	void readsValuesAndDefaults() {
		TeamSettings team = TeamSettings.of(new TeamId("bakery"),
				Map.of("/teams/bakery/services/bread/timeout", "1.5s", "/teams/bakery/services/bread/spill", "true",
						"/teams/bakery/kinds/order/service", "bread", "/teams/bakery/kinds/bake/class", "batch",
						"/teams/bakery/kinds/bake/cores", "0.5", "/teams/bakery/kinds/bake/memory", "2GB",
						"/teams/bakery/quota/slots", "16"));
		ServiceName bread = new ServiceName("bread");
		assertThat(team.services()).containsOnlyKeys(bread)
			.containsEntry(bread, new ServiceSettings(bread, Urgency.URGENT, Duration.ofMillis(50),
					Duration.ofMillis(1500), true, false, true, 1000, 100, 10));
		KindSettings order = team.kinds().get(new KindName("order"));
		assertThat(order.service()).isEqualTo(Optional.of(bread));
		assertThat(order.urgency()).isEqualTo(Urgency.DEFERRABLE);
		assertThat(order.repeatable()).isFalse();
		assertThat(order.keepTime()).isEqualTo(Duration.ofDays(1));
		assertThat(team.kinds().get(new KindName("bake")).defaultSize()).isEqualTo(new Resources(500, 2048, 0));
		assertThat(team.quota()).isEqualTo(new QuotaSettings(new Resources(64_000, 262_144, 0), 16, 100));
	}

	@Test
	void usesTheDefaultForAValueThatOnlyANewerVersionAccepts() {
		TeamSettings team = TeamSettings.of(new TeamId("bakery"),
				Map.of("/teams/bakery/services/bread/timeout", "1fortnight", "/teams/bakery/services/bread/new", "1"));
		assertThat(team.services().get(new ServiceName("bread")).timeout()).isEqualTo(Duration.ofSeconds(1));
		PlatformSettings platform = PlatformSettings
			.of(Map.of("/platform/zones/a/region", "kigali", "/platform/new", "1"));
		assertThat(platform.regions()).containsEntry(new AvailabilityZoneId("a"), "kigali");
	}

}
