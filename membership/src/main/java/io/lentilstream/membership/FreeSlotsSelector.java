package io.lentilstream.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

import io.lentilstream.wire.ServiceRef;

/**
 * Selects the services whose free slots one round of heartbeats reports. Their number is
 * limited, so that a heartbeat does not grow with the number of teams. Services whose
 * free slots became or stopped being zero come first, then those with the largest change,
 * then unchanged ones in round-robin order.
 */
final class FreeSlotsSelector {

	/**
	 * Divisor of the maximum number of services; the quotient is the number of unchanged
	 * services repeated per heartbeat. It is small since they only replace lost reports.
	 */
	private static final int REFRESH_DIVISOR = 4;

	private final int maxServices;

	private final Map<ServiceRef, Integer> reported = new HashMap<>();

	private ServiceRef lastRefreshed;

	FreeSlotsSelector(int maxServices) {
		this.maxServices = maxServices;
	}

	/**
	 * Forgets the reported values, so that all of them are reported to a new peer.
	 */
	void reset() {
		this.reported.clear();
	}

	/**
	 * Selects the services to report and records them as reported.
	 * @param freeSlots the free slots of each service
	 * @return the free slots to report; 0 for a service without free slots
	 */
	Map<ServiceRef, Integer> selectNext(Map<ServiceRef, Integer> freeSlots) {
		TreeSet<ServiceRef> services = new TreeSet<>(freeSlots.keySet());
		services.addAll(this.reported.keySet());
		Map<ServiceRef, Integer> selected = new HashMap<>();
		for (ServiceRef service : changedServices(services, freeSlots)) {
			select(selected, service, freeSlots);
		}
		int targetSize = Math.min(this.maxServices, selected.size() + Math.max(1, this.maxServices / REFRESH_DIVISOR));
		for (int i = services.size(); i > 0 && selected.size() < targetSize; i--) {
			ServiceRef next = (this.lastRefreshed != null) ? services.higher(this.lastRefreshed) : null;
			this.lastRefreshed = (next != null) ? next : services.first();
			select(selected, this.lastRefreshed, freeSlots);
		}
		selected.forEach(this::recordReported);
		return selected;
	}

	private List<ServiceRef> changedServices(TreeSet<ServiceRef> services, Map<ServiceRef, Integer> freeSlots) {
		List<ServiceRef> changed = new ArrayList<>();
		for (ServiceRef service : services) {
			if (difference(service, freeSlots) > 0) {
				changed.add(service);
			}
		}
		changed.sort(Comparator.comparingInt((ServiceRef service) -> -difference(service, freeSlots)));
		return changed.subList(0, Math.min(this.maxServices, changed.size()));
	}

	private int difference(ServiceRef service, Map<ServiceRef, Integer> freeSlots) {
		int before = this.reported.getOrDefault(service, 0);
		int now = freeSlots.getOrDefault(service, 0);
		boolean crossesZero = (before == 0) != (now == 0);
		return crossesZero ? Integer.MAX_VALUE : Math.abs(before - now);
	}

	private void select(Map<ServiceRef, Integer> selected, ServiceRef service, Map<ServiceRef, Integer> freeSlots) {
		selected.put(service, freeSlots.getOrDefault(service, 0));
	}

	private void recordReported(ServiceRef service, int slots) {
		if (slots == 0) {
			this.reported.remove(service);
		}
		else {
			this.reported.put(service, slots);
		}
	}

}
