package io.lentilstream.standin;

import java.util.Map;

import io.lentilstream.model.EndpointId;
import io.lentilstream.model.VmId;

/**
 * Gives access to the fault switches of a stand-in platform.
 */
public final class StandinFaults {

	private final StoreFaults store;

	private final StandinDirectory directory;

	private final Map<VmId, StandinWorker> workers;

	private final Map<EndpointId, StandinEndpoint> endpoints;

	StandinFaults(StoreFaults store, StandinDirectory directory, Map<VmId, StandinWorker> workers,
			Map<EndpointId, StandinEndpoint> endpoints) {
		this.store = store;
		this.directory = directory;
		this.workers = workers;
		this.endpoints = endpoints;
	}

	/**
	 * Returns the switches of the store.
	 * @return the switches
	 */
	public StoreFaults store() {
		return this.store;
	}

	/**
	 * Returns the list of VMs, whose entries can be changed.
	 * @return the list
	 */
	public StandinDirectory directory() {
		return this.directory;
	}

	/**
	 * Returns the switches of a worker.
	 * @param vm a VM of the topology
	 * @return the switches
	 */
	public WorkerFaults worker(VmId vm) {
		return this.workers.get(vm).faults();
	}

	/**
	 * Returns the switches of an endpoint.
	 * @param endpoint an endpoint of the topology
	 * @return the switches
	 */
	public EndpointFaults endpoint(EndpointId endpoint) {
		return this.endpoints.get(endpoint).faults();
	}

}
