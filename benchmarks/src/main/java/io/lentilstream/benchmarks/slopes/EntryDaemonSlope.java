package io.lentilstream.benchmarks.slopes;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

import io.lentilstream.entry.EntryDaemon;
import io.lentilstream.entry.EntryOptions;
import io.lentilstream.model.AvailabilityZoneId;
import io.lentilstream.model.EndpointId;
import io.lentilstream.model.MonotonicClock;
import io.lentilstream.model.RackId;
import io.lentilstream.model.ServiceName;
import io.lentilstream.model.TeamId;
import io.lentilstream.model.VmId;
import io.lentilstream.settings.process.EntrySettings;
import io.lentilstream.settings.process.HostPort;
import io.lentilstream.settings.process.LogFormat;
import io.lentilstream.settings.process.Secret;
import io.lentilstream.standin.StandinPlatform;
import io.lentilstream.standin.Topology;

/**
 * Measures the processor time of one whole entry daemon by the rate of urgent requests,
 * over loopback against the stand-in. The threads of the daemon are those that start
 * after the stand-in and the load generator have served a warm-up; the time of garbage
 * collection and compilation is not counted.
 */
final class EntryDaemonSlope implements SlopeMeasurement {

	private static final String HOST = "127.0.0.1";

	private static final String ADMINISTRATOR_KEY = "slopes-administrator-key";

	private static final AvailabilityZoneId ZONE = new AvailabilityZoneId("zone");

	private static final TeamId TEAM = new TeamId("orchard");

	private static final ServiceName SERVICE = new ServiceName("confirm");

	private static final VmId ENTRY = new VmId("entry");

	private static final int ENDPOINTS = 8;

	private static final Duration SERVICE_TIME = Duration.ofMillis(5);

	private static final long READY_MILLIS = 20_000;

	// Enough connections at once to start every event loop of the stand-in.
	private static final int WARM_UP_CALLS = 64;

	private static final int WARM_UP_SECONDS = 3;

	private final int[] requestsPerSecond;

	private final int seconds;

	private final ExecutorService clientThreads = Executors.newFixedThreadPool(2);

	private final HttpClient client = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.executor(this.clientThreads)
		.build();

	private final AtomicInteger answered = new AtomicInteger();

	private final List<Throwable> broken = new CopyOnWriteArrayList<>();

	EntryDaemonSlope(int[] requestsPerSecond, int seconds) {
		this.requestsPerSecond = requestsPerSecond;
		this.seconds = seconds;
	}

	@Override
	public List<Slope> measure() throws IOException, InterruptedException {
		int httpPort = freePort();
		int peerPort = freePort();
		Topology topology = Topology.EMPTY.withLags(Duration.ofMillis(100), Duration.ofMillis(100))
			.with(new Topology.EntryVm(ENTRY, ZONE, new RackId("rack"), HOST + ":" + peerPort));
		for (int i = 0; i < ENDPOINTS; i++) {
			topology = topology.with(new Topology.EndpointVm(new EndpointId("endpoint-" + i), ZONE, new RackId("rack"),
					TEAM, SERVICE, 8, 64, SERVICE_TIME));
		}
		StandinPlatform platform = new StandinPlatform(topology, MonotonicClock.system());
		try {
			platform.start();
			warmUp(platform.baseUrl());
			Set<Long> others = new HashSet<>();
			for (long id : CostMeter.threadIds()) {
				others.add(id);
			}
			EntryDaemon daemon = new EntryDaemon(settings(platform.baseUrl(), httpPort, peerPort),
					EntryOptions.of(new SecureRandom(), this.broken::add));
			try {
				daemon.start();
				return measure(daemon, "http://" + HOST + ":" + httpPort, others);
			}
			finally {
				daemon.close();
			}
		}
		finally {
			platform.close();
			this.clientThreads.shutdownNow();
		}
	}

	private List<Slope> measure(EntryDaemon daemon, String url, Set<Long> others) throws InterruptedException {
		for (long i = 0; i < READY_MILLIS / 50 && !daemon.isReady(); i++) {
			Thread.sleep(50);
		}
		createTeam(url);
		load(url, this.requestsPerSecond[this.requestsPerSecond.length - 1], WARM_UP_SECONDS);
		List<SlopePoint> points = new ArrayList<>();
		for (int rate : this.requestsPerSecond) {
			long start = System.nanoTime();
			long cpu = CostMeter.cpuNanosOfOthers(others);
			this.answered.set(0);
			load(url, rate, this.seconds);
			cpu = CostMeter.cpuNanosOfOthers(others) - cpu;
			double elapsed = (System.nanoTime() - start) / 1e9;
			if (this.answered.get() < rate * this.seconds * 9L / 10) {
				throw new IllegalStateException(
						"only " + this.answered.get() + " of " + rate * this.seconds + " requests were answered");
			}
			points.add(new SlopePoint(this.answered.get() / elapsed, cpu / 1e3 / elapsed));
		}
		if (!this.broken.isEmpty()) {
			throw new IllegalStateException("the daemon broke an invariant", this.broken.get(0));
		}
		return List.of(Slope.of("entry-daemon-cpu", "us per second", "requests/s", points));
	}

	private void load(String url, int rate, int duration) throws InterruptedException {
		HttpRequest request = request(url + "/services/" + TEAM + "/" + SERVICE + "/confirm")
			.header("Lentilstream-Timeout-Ms", "2000")
			.POST(HttpRequest.BodyPublishers.ofString("one pickup"))
			.build();
		long start = System.nanoTime();
		List<CompletableFuture<?>> calls = new ArrayList<>();
		for (int i = 0; i < rate * duration; i++) {
			LockSupport.parkNanos(start + TimeUnit.SECONDS.toNanos(i) / rate - System.nanoTime());
			calls.add(this.client.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray()).handle((answer, ex) -> {
				if (answer != null && answer.statusCode() == 200) {
					this.answered.incrementAndGet();
				}
				return null;
			}));
		}
		calls.forEach(CompletableFuture::join);
		long left = duration * 1_000L - (System.nanoTime() - start) / 1_000_000;
		Thread.sleep(Math.max(0, left));
	}

	private void warmUp(String platformUrl) {
		List<CompletableFuture<?>> calls = new ArrayList<>();
		for (int i = 0; i < WARM_UP_CALLS; i++) {
			calls.add(this.client.sendAsync(request(platformUrl + "/directory/" + ZONE).GET().build(),
					HttpResponse.BodyHandlers.ofByteArray()));
		}
		calls.forEach(CompletableFuture::join);
	}

	private void createTeam(String url) throws InterruptedException {
		change(url, "{\"/platform/zones/zone/region\":\"region\"}");
		String service = "/teams/" + TEAM + "/services/" + SERVICE;
		change(url, "{\"" + service + "/urgency\":\"urgent\",\"" + service + "/expected-time\":\"5ms\",\"" + service
				+ "/timeout\":\"2s\"}");
		HttpRequest probe = request(url + "/services/" + TEAM + "/" + SERVICE + "/confirm").GET().build();
		for (long i = 0; i < READY_MILLIS / 50 && status(probe) != 200; i++) {
			Thread.sleep(50);
		}
	}

	private void change(String url, String edits) {
		int status = status(request(url + "/admin/settings").header("Authorization", "Bearer " + ADMINISTRATOR_KEY)
			.header("Content-Type", "application/json")
			.POST(HttpRequest.BodyPublishers
				.ofString("{\"reason\":\"slopes\",\"author\":\"bench\",\"edits\":" + edits + "}"))
			.build());
		if (status != 200) {
			throw new IllegalStateException("settings were refused with status " + status);
		}
	}

	private int status(HttpRequest request) {
		return this.client.sendAsync(request, HttpResponse.BodyHandlers.discarding()).join().statusCode();
	}

	private static HttpRequest.Builder request(String url) {
		return HttpRequest.newBuilder(URI.create(url));
	}

	private static EntrySettings settings(String platformUrl, int httpPort, int peerPort) {
		return new EntrySettings(ENTRY, ZONE, "region", new HostPort(HOST, httpPort), new HostPort(HOST, peerPort),
				List.of(),
				new EntrySettings.Platform(platformUrl, Duration.ofMillis(300), Duration.ofMillis(1_500),
						Duration.ofMillis(500)),
				new Secret("slopes-peer-key-of-all-entry-vms"), new Secret(ADMINISTRATOR_KEY),
				new EntrySettings.Limits(900_000, 8_000_000, 16_000, 1_000_000, 10_000, 4_096, 10_000, 4_096),
				new EntrySettings.Leases(Duration.ofSeconds(10), Duration.ofSeconds(1), Duration.ofSeconds(30),
						Duration.ofSeconds(5), Duration.ofSeconds(600)),
				new EntrySettings.Shards(1, 1, Duration.ofMillis(20)), LogFormat.TEXT);
	}

	private static int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
			return socket.getLocalPort();
		}
	}

}
