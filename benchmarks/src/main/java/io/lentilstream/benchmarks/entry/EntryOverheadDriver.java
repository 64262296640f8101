package io.lentilstream.benchmarks.entry;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;

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
 * Measures what one entry daemon adds to a request: the same request goes in turn to an
 * endpoint of the stand-in directly and through the daemon, one at a time. The argument
 * is the number of endpoints.
 */
public final class EntryOverheadDriver {

	private static final String HOST = "127.0.0.1";

	private static final String KEY = "overhead-administrator-key";

	private static final AvailabilityZoneId ZONE = new AvailabilityZoneId("zone");

	private static final int WARM_UP = 4_000;

	private static final int CALLS = 4_000;

	private static final int BLOCK = 100;

	private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private EntryOverheadDriver() {
	}

	/**
	 * Runs the measurement and prints it.
	 * @param arguments the number of endpoints
	 * @throws IOException if no port is free
	 * @throws InterruptedException if the process is asked to end
	 */
	public static void main(String[] arguments) throws IOException, InterruptedException {
		new EntryOverheadDriver().run(Integer.parseInt(arguments[0]));
		System.exit(0);
	}

	private void run(int endpoints) throws IOException, InterruptedException {
		Topology topology = Topology.EMPTY;
		for (int i = 0; i < endpoints; i++) {
			topology = topology.with(new Topology.EndpointVm(new EndpointId("endpoint-" + i), ZONE, new RackId("rack"),
					new TeamId("team"), new ServiceName("echo"), 8, 64, Duration.ZERO));
		}
		int httpPort = freePort();
		try (StandinPlatform platform = new StandinPlatform(topology, MonotonicClock.system())) {
			platform.start();
			try (EntryDaemon daemon = new EntryDaemon(settings(platform.baseUrl(), httpPort),
					EntryOptions.of(new SecureRandom(), Throwable::printStackTrace))) {
				daemon.start();
				String entry = "http://" + HOST + ":" + httpPort;
				createTeam(daemon, entry);
				measure(endpoints, platform.endpointUrl(new EndpointId("endpoint-0")) + "/x",
						entry + "/services/team/echo/x");
			}
		}
	}

	private void createTeam(EntryDaemon daemon, String entry) throws IOException, InterruptedException {
		while (!daemon.isReady()) {
			Thread.sleep(20);
		}
		HttpRequest change = HttpRequest.newBuilder(URI.create(entry + "/admin/settings"))
			.header("Authorization", "Bearer " + KEY)
			.POST(HttpRequest.BodyPublishers.ofString("{\"edits\":{\"/teams/team/services/echo/timeout\":\"10s\"}}"))
			.build();
		this.client.send(change, HttpResponse.BodyHandlers.ofString());
		while (call(entry + "/services/team/echo/x") < 0) {
			Thread.sleep(20);
		}
	}

	private void measure(int endpoints, String direct, String through) throws IOException, InterruptedException {
		for (int i = 0; i < WARM_UP; i++) {
			call(direct);
			call(through);
		}
		long[] directNanos = new long[CALLS];
		long[] throughNanos = new long[CALLS];
		for (int from = 0; from < CALLS; from += BLOCK) {
			fill(directNanos, from, direct);
			fill(throughNanos, from, through);
		}
		Arrays.sort(directNanos);
		Arrays.sort(throughNanos);
		System.out.printf("endpoints %d%n", endpoints);
		for (double quantile : new double[] { 0.5, 0.9, 0.99 }) {
			int index = (int) (quantile * CALLS);
			System.out.printf("p%.0f direct %d us, through the daemon %d us, added %d us%n", quantile * 100,
					directNanos[index] / 1_000, throughNanos[index] / 1_000,
					(throughNanos[index] - directNanos[index]) / 1_000);
		}
	}

	private void fill(long[] nanos, int from, String url) throws IOException, InterruptedException {
		for (int i = from; i < from + BLOCK; i++) {
			nanos[i] = call(url);
			if (nanos[i] < 0) {
				throw new IllegalStateException("a request was not answered");
			}
		}
	}

	private long call(String url) throws IOException, InterruptedException {
		HttpRequest request = HttpRequest.newBuilder(URI.create(url))
			.header("Content-Type", "text/plain")
			.header("Lentilstream-Request-Id", "direct")
			.POST(HttpRequest.BodyPublishers.ofString("hello"))
			.build();
		long start = System.nanoTime();
		HttpResponse<String> response = this.client.send(request, HttpResponse.BodyHandlers.ofString());
		return (response.statusCode() == 200) ? System.nanoTime() - start : -1;
	}

	private static EntrySettings settings(String baseUrl, int httpPort) {
		return new EntrySettings(new VmId("entry"), ZONE, "region", new HostPort(HOST, httpPort), new HostPort(HOST, 0),
				List.of(),
				new EntrySettings.Platform(baseUrl, Duration.ofSeconds(1), Duration.ofSeconds(2),
						Duration.ofMillis(500)),
				new Secret("overhead-peer-key-of-entry"), new Secret(KEY),
				new EntrySettings.Limits(900_000, 8_000_000, 16_000, 1_000_000, 10_000, 4_096, 10_000, 4_096),
				new EntrySettings.Leases(Duration.ofSeconds(10), Duration.ofSeconds(2), Duration.ofSeconds(30),
						Duration.ofSeconds(2), Duration.ofMinutes(10)),
				new EntrySettings.Shards(2, 2, Duration.ofMillis(20)), LogFormat.TEXT);
	}

	private static int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
			return socket.getLocalPort();
		}
	}

}
