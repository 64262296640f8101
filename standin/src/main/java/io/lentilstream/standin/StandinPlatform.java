package io.lentilstream.standin;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

import io.lentilstream.clients.VmEntry;
import io.lentilstream.model.EndpointId;
import io.lentilstream.model.MonotonicClock;
import io.lentilstream.model.Resources;
import io.lentilstream.model.VmId;
import io.lentilstream.settings.process.StandinSettings;

/**
 * Runs a stand-in of the whole platform on one port of this process.
 */
public final class StandinPlatform implements AutoCloseable {

	private final Topology topology;

	private final TimerQueue timers;

	private final RunRecords records = new RunRecords();

	private final StandinStore store;

	private final StoreRoutes storeRoutes;

	private final StandinDirectory directory;

	private final Map<VmId, StandinWorker> workers = new LinkedHashMap<>();

	private final Map<EndpointId, StandinEndpoint> endpoints = new LinkedHashMap<>();

	private final StandinFaults faults;

	private final StandinServer server;

	private final String host;

	private final int requestedPort;

	/**
	 * Creates a platform on a free port of the loopback address.
	 * @param topology the VMs and lags
	 * @param clock decides all times of the platform
	 */
	public StandinPlatform(Topology topology, MonotonicClock clock) {
		this(topology, clock, "127.0.0.1", 0);
	}

	/**
	 * Creates a platform.
	 * @param topology the VMs and lags
	 * @param clock decides all times of the platform
	 * @param host the address to listen on
	 * @param port the port to listen on; 0 chooses a free one
	 */
	public StandinPlatform(Topology topology, MonotonicClock clock, String host, int port) {
		this.topology = topology;
		this.host = host;
		this.requestedPort = port;
		this.timers = new TimerQueue(clock);
		this.store = new StandinStore(this.timers);
		StoreFaults storeFaults = new StoreFaults(this.store);
		this.storeRoutes = new StoreRoutes(this.store, storeFaults, this.timers);
		this.directory = new StandinDirectory(this.timers, topology.listLag());
		for (Topology.WorkerVm vm : topology.workers()) {
			this.workers.put(vm.vm(), new StandinWorker(vm, this.timers, this.records, topology.usageLag()));
		}
		SplittableRandom random = new SplittableRandom(topology.seed());
		for (Topology.EndpointVm vm : topology.endpoints()) {
			this.endpoints.put(vm.endpoint(), new StandinEndpoint(vm, this.timers, this.records, random.split(),
					() -> this.directory.markLeaving(new VmId(vm.endpoint().value()))));
		}
		this.faults = new StandinFaults(storeFaults, this.directory, this.workers, this.endpoints);
		this.server = new StandinServer(new StandinRouter(this::part));
	}

	private RequestHandler part(String name) {
		return switch (name) {
			case "store" -> this.storeRoutes;
			case "directory" -> this.directory::handle;
			case "workers" -> new StandinRouter((id) -> this.workers.get(new VmId(id)));
			case "endpoints" -> new StandinRouter((id) -> this.endpoints.get(new EndpointId(id)));
			default -> null;
		};
	}

	/**
	 * Creates a platform from a settings file.
	 * @param settings the settings
	 * @param clock decides all times of the platform
	 * @return the platform
	 */
	public static StandinPlatform of(StandinSettings settings, MonotonicClock clock) {
		return new StandinPlatform(Topology.of(settings), clock, settings.listen().host(), settings.listen().port());
	}

	/**
	 * Starts to listen.
	 */
	public void start() {
		this.server.start(this.host, this.requestedPort);
		this.timers.start();
		this.topology.workers().forEach((vm) -> this.directory.addNow(entryOf(vm)));
		this.topology.endpoints().forEach((vm) -> this.directory.addNow(entryOf(vm)));
		this.topology.entries().forEach((vm) -> this.directory.addNow(entryOf(vm)));
	}

	private VmEntry entryOf(Topology.WorkerVm vm) {
		return new VmEntry(vm.vm(), VmEntry.Role.WORKER, VmEntry.Status.LIVE, vm.zone(), vm.rack(),
				address() + "/workers/" + vm.vm(), vm.capacity(), Optional.empty(), Optional.empty(), 0, 0);
	}

	private VmEntry entryOf(Topology.EndpointVm vm) {
		return new VmEntry(new VmId(vm.endpoint().value()), VmEntry.Role.ENDPOINT, VmEntry.Status.LIVE, vm.zone(),
				vm.rack(), address() + "/endpoints/" + vm.endpoint(), Resources.NONE, Optional.of(vm.team()),
				Optional.of(vm.service()), vm.slots(), vm.connections());
	}

	private static VmEntry entryOf(Topology.EntryVm vm) {
		return new VmEntry(vm.vm(), VmEntry.Role.ENTRY, VmEntry.Status.LIVE, vm.zone(), vm.rack(), vm.address(),
				Resources.NONE, Optional.empty(), Optional.empty(), 0, 0);
	}

	private String address() {
		return this.host + ":" + this.server.port();
	}

	/**
	 * Stops listening and all timers.
	 */
	public void stop() {
		this.timers.stop();
		this.server.stop();
	}

	@Override
	public void close() {
		stop();
	}

	/**
	 * Returns the port that the platform listens on.
	 * @return the port
	 */
	public int port() {
		return this.server.port();
	}

	/**
	 * Returns the base URL of the platform.
	 * @return the URL without trailing slash
	 */
	public String baseUrl() {
		return "http://" + address();
	}

	/**
	 * Returns the wall clock of the platform, which moves with its clock.
	 * @return milliseconds since 1970 UTC
	 */
	public long wallClockMillis() {
		return this.timers.wallClockMillis();
	}

	/**
	 * Returns the base URL of the store.
	 * @return the URL without trailing slash
	 */
	public String storeUrl() {
		return baseUrl() + "/store";
	}

	/**
	 * Returns the base URL of the list of VMs.
	 * @return the URL without trailing slash
	 */
	public String directoryUrl() {
		return baseUrl() + "/directory";
	}

	/**
	 * Returns the base URL of a worker.
	 * @param vm the VM of the worker
	 * @return the URL without trailing slash
	 */
	public String workerUrl(VmId vm) {
		return baseUrl() + "/workers/" + vm;
	}

	/**
	 * Returns the base URL of an endpoint.
	 * @param endpoint the endpoint
	 * @return the URL without trailing slash
	 */
	public String endpointUrl(EndpointId endpoint) {
		return baseUrl() + "/endpoints/" + endpoint;
	}

	/**
	 * Returns the fault switches.
	 * @return the switches
	 */
	public StandinFaults faults() {
		return this.faults;
	}

	/**
	 * Runs what is due by the clock. A thread of the platform does this as well; a test
	 * that moves the clock calls it to go on at once.
	 */
	public void runDue() {
		this.timers.runDue();
	}

	/**
	 * Returns the number of watches that wait at the store.
	 * @return the number
	 */
	public int waitingWatches() {
		return this.store.waitingWatches();
	}

	/**
	 * Returns the values of the store.
	 * @return a copy, in the order of the keys
	 */
	public Map<String, byte[]> storeContents() {
		return this.store.contents();
	}

	/**
	 * Returns the calls of one client that reached the store.
	 * @param client the id that the client sends
	 * @return the numbers by kind
	 */
	public StoreCallCounts storeCallsOf(String client) {
		return this.storeRoutes.of(client);
	}

	/**
	 * Returns what ran so far.
	 * @return a copy
	 */
	public StandinRecords records() {
		Map<VmId, WorkerRecord> workerRecords = new LinkedHashMap<>();
		this.workers.forEach((vm, worker) -> workerRecords.put(vm, worker.record()));
		Map<EndpointId, EndpointRecord> endpointRecords = new LinkedHashMap<>();
		this.endpoints.forEach((id, endpoint) -> endpointRecords.put(id, endpoint.record()));
		return new StandinRecords(this.records.keyRuns(), this.records.taskRuns(), workerRecords, endpointRecords,
				this.storeRoutes.total());
	}

}
