package io.lentilstream.standin;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;

import org.awaitility.Awaitility;

import io.lentilstream.clients.http.HttpCalls;
import io.lentilstream.clients.http.HttpClientSettings;
import io.lentilstream.clients.http.HttpEndpointClient;
import io.lentilstream.clients.http.HttpStoreClient;
import io.lentilstream.clients.http.HttpVmDirectory;
import io.lentilstream.clients.http.HttpWorkerClient;
import io.lentilstream.clients.http.StoreCallMeter;
import io.lentilstream.model.AvailabilityZoneId;
import io.lentilstream.model.EndpointId;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.RackId;
import io.lentilstream.model.Resources;
import io.lentilstream.model.ServiceName;
import io.lentilstream.model.TeamId;
import io.lentilstream.model.VmId;

/**
 * Runs a stand-in with one worker, one endpoint and a clock that only the test moves.
 */
final class StandinFixture implements AutoCloseable {

	static final VmId WORKER = new VmId("worker-1");

	static final EndpointId ENDPOINT = new EndpointId("endpoint-1");

	static final AvailabilityZoneId ZONE = new AvailabilityZoneId("zone-1");

	static final Duration LAG = Duration.ofSeconds(2);

	/**
	 * Bounds a test that would wait forever; no test expects to reach it.
	 */
	private static final long GUARD_SECONDS = 20;

	final AtomicLong nanos = new AtomicLong();

	final StandinPlatform platform;

	final HttpCalls calls = new HttpCalls(
			HttpClientSettings.DEFAULTS.withCallTimeout(Duration.ofSeconds(GUARD_SECONDS)));

	final HttpCalls shortCalls = new HttpCalls(HttpClientSettings.DEFAULTS.withCallTimeout(Duration.ofMillis(200)));

	final StoreCallMeter meter = new StoreCallMeter();

	StandinFixture() {
		Topology topology = Topology.EMPTY
			.with(new Topology.WorkerVm(WORKER, ZONE, new RackId("rack-1"), new Resources(4_000, 8_000, 0)))
			.with(new Topology.EndpointVm(ENDPOINT, ZONE, new RackId("rack-1"), new TeamId("team-1"),
					new ServiceName("service-1"), 2, 3, Duration.ofMillis(50)))
			.withLags(LAG, LAG);
		this.platform = new StandinPlatform(topology, () -> new MonotonicTime(this.nanos.get()));
		this.platform.start();
	}

	HttpStoreClient store(String client) {
		return new HttpStoreClient(this.calls, this.platform.storeUrl(), client, this.meter);
	}

	/**
	 * Returns a client that gives up soon, for cases in which no answer can come. Its
	 * connection is open already, so a slow machine does not turn "sent" into "not sent".
	 * @return the client
	 */
	HttpStoreClient impatientStore() {
		openConnection();
		return new HttpStoreClient(this.shortCalls, this.platform.storeUrl(), "impatient", this.meter);
	}

	private void openConnection() {
		HttpVmDirectory directory = new HttpVmDirectory(this.shortCalls, this.platform.directoryUrl());
		Awaitility.await().until(() -> get(directory.list(ZONE)).isPresent());
	}

	HttpWorkerClient workers() {
		return new HttpWorkerClient(this.calls, this.platform::workerUrl, this.platform::wallClockMillis);
	}

	/**
	 * Returns a client whose commands arrive late.
	 * @param delay the time between sending and arrival
	 * @return the client
	 */
	HttpWorkerClient workersWithDelay(Duration delay) {
		return new HttpWorkerClient(this.calls, this.platform::workerUrl,
				() -> this.platform.wallClockMillis() - delay.toMillis());
	}

	HttpWorkerClient impatientWorkers() {
		openConnection();
		return new HttpWorkerClient(this.shortCalls, this.platform::workerUrl, this.platform::wallClockMillis);
	}

	HttpEndpointClient endpoints() {
		return new HttpEndpointClient(this.calls, this.platform::endpointUrl);
	}

	HttpVmDirectory directory() {
		return new HttpVmDirectory(this.calls, this.platform.directoryUrl());
	}

	void pass(Duration time) {
		this.nanos.addAndGet(time.toNanos());
		this.platform.runDue();
	}

	EndpointRecord endpointRecord() {
		return this.platform.records().endpoints().get(ENDPOINT);
	}

	void awaitRuns(long runs) {
		Awaitility.await().until(() -> endpointRecord().runs() >= runs);
	}

	static <T> T get(CompletableFuture<T> future) {
		try {
			return future.get(GUARD_SECONDS, TimeUnit.SECONDS);
		}
		catch (InterruptedException | ExecutionException | TimeoutException ex) {
			throw new AssertionError("no outcome", ex);
		}
	}

	static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

	@Override
	public void close() {
		this.calls.close();
		this.shortCalls.close();
		this.platform.stop();
	}

}
