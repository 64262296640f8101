package io.lentilstream.jobs.scheduling;

import java.util.HashMap;
import java.util.Map;

import io.lentilstream.model.ServiceName;

/**
 * Tracks which share of the processor time of each service's VMs is reserved.
 */
final class UtilizationTracker {

	/** The reserved share below which most of the processor time counts as free. */
	private static final double MOSTLY_FREE_SHARE = 0.55;

	private final SchedulerState state;

	private Map<ServiceName, Usage> usages = Map.of();

	UtilizationTracker(SchedulerState state) {
		this.state = state;
	}

	/**
	 * Updates the shares. Must be called several times per second.
	 * @param now the current time in milliseconds
	 */
	void update(long now) {
		Map<ServiceName, Usage> latest = new HashMap<>();
		for (Worker worker : this.state.workers.values()) {
			if (worker.acceptsTasks(now)) {
				latest.merge(worker.listing.service(),
						new Usage(worker.reserved.milliCores(), worker.listing.capacity().milliCores()), Usage::plus);
			}
		}
		this.usages = latest;
	}

	/**
	 * Tells whether most of the processor time of a service's VMs is not reserved.
	 * @param service the service
	 * @return {@code true} if most is free; {@code false} for an unknown service
	 */
	boolean mostlyFree(ServiceName service) {
		Usage usage = this.usages.get(service);
		return usage != null && usage.reserved < MOSTLY_FREE_SHARE * usage.capacity;
	}

	private record Usage(long reserved, long capacity) {

		Usage plus(Usage other) {
			return new Usage(this.reserved + other.reserved, this.capacity + other.capacity);
		}

	}

}
