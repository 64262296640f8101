package io.lentilstream.jobs.scheduling;

import java.util.Set;

import io.lentilstream.jobs.DecisionLog;
import io.lentilstream.model.AvailabilityZoneId;

/**
 * Keeps tasks from being started in the availability zones that operators evacuate. Runs
 * in progress stay until they end, since a stop would lose work that the operators did
 * not ask to lose. Load pattern: a zone is emptied under full load, so that its waiting
 * and restarting tasks have to fit into the other zones.
 */
final class ZoneEvacuation {

	private final DecisionLog log;

	private Set<AvailabilityZoneId> zones = Set.of();

	ZoneEvacuation(DecisionLog log) {
		this.log = log;
	}

	/**
	 * Replaces the evacuated zones.
	 * @param latest the zones
	 * @param workers the known VMs
	 */
	void update(Set<AvailabilityZoneId> latest, Iterable<Worker> workers) {
		this.zones = Set.copyOf(latest);
		int closed = 0;
		int runs = 0;
		for (Worker worker : workers) {
			mark(worker);
			closed += worker.evacuated ? 1 : 0;
			runs += worker.evacuated ? worker.runs.size() : 0;
		}
		this.log.append("zones-evacuated", this.zones, "workers", closed, "runs-left", runs);
	}

	/**
	 * Marks a VM whose listing is new or has changed.
	 * @param worker the VM
	 */
	void mark(Worker worker) {
		String zone = worker.listing.zone();
		worker.evacuated = this.zones.stream().anyMatch((evacuated) -> evacuated.value().equals(zone));
	}

}
