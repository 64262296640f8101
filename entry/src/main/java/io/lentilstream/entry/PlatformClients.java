package io.lentilstream.entry;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;

import io.lentilstream.clients.EndpointClient;
import io.lentilstream.clients.StoreClient;
import io.lentilstream.clients.VmDirectory;
import io.lentilstream.clients.VmEntry;
import io.lentilstream.clients.WorkerClient;
import io.lentilstream.clients.http.HttpCalls;
import io.lentilstream.clients.http.HttpClientSettings;
import io.lentilstream.clients.http.HttpEndpointClient;
import io.lentilstream.clients.http.HttpStoreClient;
import io.lentilstream.clients.http.HttpVmDirectory;
import io.lentilstream.clients.http.HttpWorkerClient;
import io.lentilstream.clients.http.StoreCallMeter;
import io.lentilstream.settings.process.EntrySettings;

/**
 * The HTTP clients of an entry daemon for the store, the VM directory, workers and
 * endpoints. The addresses of workers and endpoints come from the VM lists.
 */
public final class PlatformClients implements AutoCloseable {

	private final Map<String, String> addresses = new ConcurrentHashMap<>();

	private final StoreCallMeter meter = new StoreCallMeter();

	private final HttpCalls controlCalls;

	private final HttpCalls dataCalls;

	private final StoreClient store;

	private final WorkerClient workers;

	private final EndpointClient endpoints;

	private final VmDirectory directory;

	/**
	 * Creates the clients.
	 * @param settings the process settings
	 * @param wallClockMillis the wall clock, in milliseconds since 1970 UTC
	 */
	public PlatformClients(EntrySettings settings, LongSupplier wallClockMillis) {
		EntrySettings.Platform platform = settings.platform();
		HttpClientSettings limits = new HttpClientSettings(platform.connectTimeout(), platform.callTimeout(),
				HttpClientSettings.DEFAULTS.maximumCalls(), HttpClientSettings.DEFAULTS.maximumBodyBytes(),
				HttpClientSettings.DEFAULTS.idleConnections());
		// Separate connections and limits ensure that many slow requests do not delay
		// lease renewals.
		this.controlCalls = new HttpCalls(limits);
		this.dataCalls = new HttpCalls(limits.withMaximumBodyBytes(settings.limits().answerBodyBytes()));
		this.store = new HttpStoreClient(this.controlCalls, platform.baseUrl() + "/store", settings.vm().value(),
				this.meter);
		this.workers = new HttpWorkerClient(this.controlCalls, (vm) -> addressOf(vm.value()), wallClockMillis);
		this.endpoints = new HttpEndpointClient(this.dataCalls, (endpoint) -> addressOf(endpoint.value()));
		this.directory = new HttpVmDirectory(this.controlCalls, platform.baseUrl() + "/directory");
	}

	/**
	 * Returns the client of the store.
	 * @return the client
	 */
	public StoreClient store() {
		return this.store;
	}

	/**
	 * Returns the client of the workers.
	 * @return the client
	 */
	public WorkerClient workers() {
		return this.workers;
	}

	/**
	 * Returns the client of the endpoints.
	 * @return the client
	 */
	public EndpointClient endpoints() {
		return this.endpoints;
	}

	/**
	 * Returns the client of the VM directory.
	 * @return the client
	 */
	public VmDirectory directory() {
		return this.directory;
	}

	/**
	 * Returns the meter that counts store calls.
	 * @return the meter
	 */
	public StoreCallMeter meter() {
		return this.meter;
	}

	/**
	 * Stores the addresses of listed VMs. Addresses of VMs that are no longer listed are
	 * retained, because work on them may still have to be stopped.
	 * @param entries the VM list of a zone
	 */
	public void updateAddresses(List<VmEntry> entries) {
		for (VmEntry entry : entries) {
			this.addresses.put(entry.vm().value(), "http://" + entry.address());
		}
	}

	// Returns null for a VM that was never listed to this process, which a record may
	// name. The clients then report that nothing was sent.
	private String addressOf(String vm) {
		return this.addresses.get(vm);
	}

	@Override
	public void close() {
		this.controlCalls.close();
		this.dataCalls.close();
	}

}
