package io.lentilstream.control;

import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;

import io.lentilstream.control.store.StoredItem;
import io.lentilstream.model.AvailabilityZoneId;

/**
 * The availability zones that operators evacuate, as the items in the store say. Each
 * process keeps its own copy, so that a new leader knows the zones from its first start
 * on.
 */
final class EvacuatedZones {

	private final Function<StoredItem, Optional<AvailabilityZoneId>> decoder;

	private final Set<AvailabilityZoneId> zones = new TreeSet<>();

	/**
	 * Creates an empty set.
	 * @param decoder returns the zone that an item evacuates, or empty for other items
	 */
	EvacuatedZones(Function<StoredItem, Optional<AvailabilityZoneId>> decoder) {
		this.decoder = decoder;
	}

	/**
	 * Applies an item that was read, written or deleted.
	 * @param item the item; without a value if it was deleted
	 * @return {@code true} if the set of zones has changed
	 */
	boolean apply(StoredItem item) {
		Optional<AvailabilityZoneId> zone = this.decoder.apply(item);
		if (zone.isEmpty()) {
			return false;
		}
		return item.exists() ? this.zones.add(zone.get()) : this.zones.remove(zone.get());
	}

	Set<AvailabilityZoneId> zones() {
		return Set.copyOf(this.zones);
	}

}
