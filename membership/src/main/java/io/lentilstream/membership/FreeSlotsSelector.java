package io.lentilstream.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

import io.lentilstream.wire.ServiceRef;

/**
 * Chooses the services that one round of heartbeats reports. The number is bounded, so
 * that a heartbeat does not grow with the number of teams: services that got their first
 * or lost their last free slot come first, then other changes, then a refresh in turn.
 */
final class FreeSlotsSelector {

	/**
	 * Part of a heartbeat that repeats unchanged services. A lost report is repeated
	 * later, so most of the room stays unused while nothing changes.
	 */
	private static final int REFRESH_DIVISOR = 4;

	private final int limit;

	private final Map<ServiceRef, Integer> reported = new HashMap<>();

	private ServiceRef refreshedUpTo;

	FreeSlotsSelector(int limit) {
		this.limit = limit;
	}

	/**
	 * Clears the reported values, since a new peer has received none of them.
	 */
	void reset() {
		this.reported.clear();
	}

	Map<ServiceRef, Integer> next(Map<ServiceRef, Integer> freeSlots) {
		TreeSet<ServiceRef> services = new TreeSet<>(freeSlots.keySet());
		services.addAll(this.reported.keySet());
		Map<ServiceRef, Integer> chosen = new HashMap<>();
		for (ServiceRef service : changed(services, freeSlots)) {
			choose(chosen, service, freeSlots);
		}
		int refreshed = Math.min(this.limit, chosen.size() + Math.max(1, this.limit / REFRESH_DIVISOR));
		for (int i = services.size(); i > 0 && chosen.size() < refreshed; i--) {
			ServiceRef next = (this.refreshedUpTo != null) ? services.higher(this.refreshedUpTo) : null;
			this.refreshedUpTo = (next != null) ? next : services.first();
			choose(chosen, this.refreshedUpTo, freeSlots);
		}
		chosen.forEach(this::report);
		return chosen;
	}

	private List<ServiceRef> changed(TreeSet<ServiceRef> services, Map<ServiceRef, Integer> freeSlots) {
		List<ServiceRef> changed = new ArrayList<>();
		for (ServiceRef service : services) {
			if (difference(service, freeSlots) > 0) {
				changed.add(service);
			}
		}
		changed.sort(Comparator.comparingInt((ServiceRef service) -> -difference(service, freeSlots)));
		return changed.subList(0, Math.min(this.limit, changed.size()));
	}

	private int difference(ServiceRef service, Map<ServiceRef, Integer> freeSlots) {
		int before = this.reported.getOrDefault(service, 0);
		int now = freeSlots.getOrDefault(service, 0);
		boolean crossesZero = (before == 0) != (now == 0);
		return crossesZero ? Integer.MAX_VALUE : Math.abs(before - now);
	}

	private void choose(Map<ServiceRef, Integer> chosen, ServiceRef service, Map<ServiceRef, Integer> freeSlots) {
		chosen.put(service, freeSlots.getOrDefault(service, 0));
	}

	private void report(ServiceRef service, int slots) {
		if (slots == 0) {
			this.reported.remove(service);
		}
		else {
			this.reported.put(service, slots);
		}
	}

}
