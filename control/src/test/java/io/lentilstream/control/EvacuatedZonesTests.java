package io.lentilstream.control;

import java.util.Optional;

import org.junit.jupiter.api.Test;

import io.lentilstream.control.store.StoredItem;
import io.lentilstream.model.AvailabilityZoneId;

import static org.assertj.core.api.Assertions.assertThat;

class EvacuatedZonesTests {

	private final EvacuatedZones zones = new EvacuatedZones((item) -> item.key().startsWith("zones/")
			? Optional.of(new AvailabilityZoneId(item.key().substring("zones/".length()))) : Optional.empty());

	@Test
	void aZoneIsEvacuatedUntilItsItemIsDeleted() {
		assertThat(this.zones.apply(item("zones/a", new byte[0]))).isTrue();
		assertThat(this.zones.apply(item("zones/a", new byte[] { 1 }))).isFalse();
		assertThat(this.zones.zones()).containsExactly(new AvailabilityZoneId("a"));
		assertThat(this.zones.apply(item("zones/a", null))).isTrue();
		assertThat(this.zones.apply(item("zones/a", null))).isFalse();
		assertThat(this.zones.zones()).isEmpty();
	}

	@Test
	void otherItemsChangeNoZone() {
		assertThat(this.zones.apply(item("config", new byte[0]))).isFalse();
		assertThat(this.zones.zones()).isEmpty();
	}

	private static StoredItem item(String key, byte[] value) {
		return new StoredItem(key, value, 1, 1);
	}

}
