package io.lentilstream.standin;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import io.lentilstream.model.AvailabilityZoneId;
import io.lentilstream.model.EndpointId;
import io.lentilstream.model.RackId;
import io.lentilstream.model.Resources;
import io.lentilstream.model.ServiceName;
import io.lentilstream.model.TeamId;
import io.lentilstream.model.VmId;
import io.lentilstream.settings.process.StandinSettings;

/**
 * Lists the VMs of a stand-in platform and its lags.
 *
 * @param workers the workers
 * @param endpoints the endpoints
 * @param entries the entry VMs
 * @param usageLag lag of the workers' usage reports
 * @param listLag lag of the list of VMs
 * @param seed seed of the variation of service times
 */
public record Topology(List<WorkerVm> workers, List<EndpointVm> endpoints, List<EntryVm> entries, Duration usageLag,
		Duration listLag, long seed) {

	private static final double PERCENT = 100;

	/**
	 * A topology without VMs and lags, to start from.
	 */
	public static final Topology EMPTY = new Topology(List.of(), List.of(), List.of(), Duration.ZERO, Duration.ZERO, 0);

	/**
	 * Returns a copy with one more worker.
	 * @param worker the worker
	 * @return the copy
	 */
	public Topology with(WorkerVm worker) {
		return new Topology(plus(this.workers, worker), this.endpoints, this.entries, this.usageLag, this.listLag,
				this.seed);
	}

	/**
	 * Returns a copy with one more endpoint.
	 * @param endpoint the endpoint
	 * @return the copy
	 */
	public Topology with(EndpointVm endpoint) {
		return new Topology(this.workers, plus(this.endpoints, endpoint), this.entries, this.usageLag, this.listLag,
				this.seed);
	}

	/**
	 * Returns a copy with one more entry VM.
	 * @param entry the entry VM
	 * @return the copy
	 */
	public Topology with(EntryVm entry) {
		return new Topology(this.workers, this.endpoints, plus(this.entries, entry), this.usageLag, this.listLag,
				this.seed);
	}

	/**
	 * Returns a copy with other lags.
	 * @param usage lag of the workers' usage reports
	 * @param list lag of the list of VMs
	 * @return the copy
	 */
	public Topology withLags(Duration usage, Duration list) {
		return new Topology(this.workers, this.endpoints, this.entries, usage, list, this.seed);
	}

	/**
	 * Makes the topology of a settings file.
	 * @param settings the settings
	 * @return the topology
	 */
	public static Topology of(StandinSettings settings) {
		List<WorkerVm> workers = new ArrayList<>();
		List<EndpointVm> endpoints = new ArrayList<>();
		for (AvailabilityZoneId zone : settings.zones()) {
			for (int i = 0; i < settings.workersPerZone(); i++) {
				workers.add(new WorkerVm(new VmId("worker-" + zone + "-" + i), zone, rack(settings, zone, i),
						settings.workerCapacity()));
			}
			for (StandinSettings.Service service : settings.services()) {
				for (int i = 0; i < service.endpointsPerZone(); i++) {
					endpoints.add(endpoint(settings, service, zone, i));
				}
			}
		}
		List<EntryVm> entries = settings.entryVms()
			.stream()
			.map((entry) -> new EntryVm(entry.vm(), entry.zone(), rack(settings, entry.zone(), 0),
					entry.address().toString()))
			.toList();
		return new Topology(List.copyOf(workers), List.copyOf(endpoints), entries, settings.usageLag(),
				settings.listLag(), settings.seed());
	}

	private static EndpointVm endpoint(StandinSettings settings, StandinSettings.Service service,
			AvailabilityZoneId zone, int index) {
		ServiceTimes times = new ServiceTimes(service.serviceTime(), service.spreadPercent() / PERCENT,
				service.stragglerPercent() / PERCENT, service.stragglerFactor());
		return new EndpointVm(new EndpointId(service.name() + "-" + zone + "-" + index), zone,
				rack(settings, zone, index), service.team(), service.name(), service.slots(), service.connections(),
				times);
	}

	private static RackId rack(StandinSettings settings, AvailabilityZoneId zone, int index) {
		return new RackId(zone + "-rack-" + index / settings.vmsPerRack());
	}

	private static <T> List<T> plus(List<T> list, T element) {
		List<T> longer = new ArrayList<>(list);
		longer.add(element);
		return List.copyOf(longer);
	}

	/**
	 * Is a VM that runs tasks.
	 *
	 * @param vm the VM
	 * @param zone the availability zone
	 * @param rack the rack
	 * @param capacity what the VM holds
	 */
	public record WorkerVm(VmId vm, AvailabilityZoneId zone, RackId rack, Resources capacity) {
	}

	/**
	 * Is a VM that answers requests.
	 *
	 * @param endpoint the endpoint; the VM has the same id
	 * @param zone the availability zone
	 * @param rack the rack
	 * @param team the team
	 * @param service the service
	 * @param slots requests that run at once
	 * @param connections requests without a complete answer at once
	 * @param serviceTimes times that requests run, unless their header says otherwise
	 */
	public record EndpointVm(EndpointId endpoint, AvailabilityZoneId zone, RackId rack, TeamId team,
			ServiceName service, int slots, int connections, ServiceTimes serviceTimes) {

		/**
		 * Creates an endpoint whose service time is always the same.
		 * @param endpoint the endpoint; the VM has the same id
		 * @param zone the availability zone
		 * @param rack the rack
		 * @param team the team
		 * @param service the service
		 * @param slots requests that run at once
		 * @param connections requests without a complete answer at once
		 * @param serviceTime time that a request runs, unless its header says otherwise
		 */
		public EndpointVm(EndpointId endpoint, AvailabilityZoneId zone, RackId rack, TeamId team, ServiceName service,
				int slots, int connections, Duration serviceTime) {
			this(endpoint, zone, rack, team, service, slots, connections, ServiceTimes.constant(serviceTime));
		}

	}

	/**
	 * Is a VM that runs an entry daemon.
	 *
	 * @param vm the VM
	 * @param zone the availability zone
	 * @param rack the rack
	 * @param address the peer address, host and port
	 */
	public record EntryVm(VmId vm, AvailabilityZoneId zone, RackId rack, String address) {
	}

}
