package io.lentilstream.cli.demo;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

import io.lentilstream.entry.EntryDaemon;
import io.lentilstream.entry.EntryOptions;
import io.lentilstream.model.AvailabilityZoneId;
import io.lentilstream.model.EndpointId;
import io.lentilstream.model.MonotonicClock;
import io.lentilstream.model.RackId;
import io.lentilstream.model.Resources;
import io.lentilstream.model.VmId;
import io.lentilstream.settings.process.EntrySettings;
import io.lentilstream.settings.process.HostPort;
import io.lentilstream.settings.process.LogFormat;
import io.lentilstream.settings.process.Secret;
import io.lentilstream.shards.ownership.OwnershipSettings;
import io.lentilstream.standin.StandinPlatform;
import io.lentilstream.standin.Topology;

/**
 * The stand-in platform and the entry daemons of the demonstration, all in this process.
 */
final class DemoCluster implements AutoCloseable {

	private static final String HOST = "127.0.0.1";

	private static final int ENTRY_VMS_PER_ZONE = 2;

	static final int ENDPOINTS_PER_ZONE = 4;

	private static final int WORKERS_PER_ZONE = 4;

	private static final int SHARDS_PER_ZONE = 2;

	private static final int REQUEST_SHARDS = 4;

	private static final Duration SERVICE_TIME = Duration.ofMillis(10);

	/**
	 * Time after which the list of VMs shows a change.
	 */
	static final Duration LIST_LAG = Duration.ofMillis(500);

	private static final Duration STORE_LEASE = Duration.ofSeconds(3);

	private static final Duration TASK_LEASE = Duration.ofSeconds(5);

	private static final Duration CLOCK_MARGIN = Duration.ofMillis(500);

	/**
	 * Time within which a shard has a new owner: the store lease, two lists of the
	 * records that are due within a lease, and the delay before an entry VM that does not
	 * acquire the shard is excluded.
	 */
	static final Duration TAKEOVER_LIMIT = STORE_LEASE.multipliedBy(2)
		.plus(OwnershipSettings.defaults().exclusionDelay());

	/**
	 * Time within which the tasks of a crashed worker may start elsewhere.
	 */
	static final Duration TASK_LEASE_LIMIT = TASK_LEASE.plus(CLOCK_MARGIN);

	private final StandinPlatform platform;

	private final List<Member> members = new ArrayList<>();

	private final AtomicInteger roundRobinCounter = new AtomicInteger();

	private final ConcurrentLinkedQueue<Throwable> brokenInvariants = new ConcurrentLinkedQueue<>();

	DemoCluster() throws IOException {
		Topology topology = Topology.EMPTY.withLags(LIST_LAG, Duration.ofMillis(500));
		List<int[]> ports = new ArrayList<>();
		for (AvailabilityZoneId zone : DemoNames.ZONES) {
			for (int i = 0; i < ENTRY_VMS_PER_ZONE; i++) {
				int[] pair = { freePort(), freePort() };
				ports.add(pair);
				topology = topology
					.with(new Topology.EntryVm(entryVm(zone, i), zone, new RackId(zone + "-r0"), HOST + ":" + pair[1]));
			}
			topology = withEndpointsAndWorkers(topology, zone);
		}
		this.platform = new StandinPlatform(topology, MonotonicClock.system());
		this.platform.start();
		int next = 0;
		for (AvailabilityZoneId zone : DemoNames.ZONES) {
			for (int i = 0; i < ENTRY_VMS_PER_ZONE; i++) {
				int[] pair = ports.get(next++);
				EntrySettings settings = settings(entryVm(zone, i), zone, pair[0], pair[1]);
				this.members.add(new Member(settings,
						new EntryDaemon(settings, EntryOptions.of(new SecureRandom(), this.brokenInvariants::add))));
			}
		}
		this.members.forEach((member) -> member.daemon.start());
	}

	private static Topology withEndpointsAndWorkers(Topology start, AvailabilityZoneId zone) {
		Topology topology = start;
		for (int i = 0; i < ENDPOINTS_PER_ZONE; i++) {
			topology = topology.with(new Topology.EndpointVm(new EndpointId(zone + "-endpoint-" + i), zone,
					new RackId(zone + "-r" + i % 2), DemoNames.TEAM, DemoNames.SERVICE, 8, 64, SERVICE_TIME));
		}
		for (int i = 0; i < WORKERS_PER_ZONE; i++) {
			topology = topology.with(new Topology.WorkerVm(new VmId(zone + "-worker-" + i), zone,
					new RackId(zone + "-r" + i % 2), new Resources(8_000, 16_000, 0)));
		}
		return topology;
	}

	private static VmId entryVm(AvailabilityZoneId zone, int index) {
		return new VmId(zone + "-entry-" + index);
	}

	private EntrySettings settings(VmId vm, AvailabilityZoneId zone, int httpPort, int peerPort) {
		return new EntrySettings(vm, zone, DemoNames.REGION, new HostPort(HOST, httpPort), new HostPort(HOST, peerPort),
				List.of(),
				new EntrySettings.Platform(this.platform.baseUrl(), Duration.ofMillis(300), Duration.ofMillis(1_500),
						Duration.ofMillis(500)),
				new Secret(DemoNames.PEER_KEY), new Secret(DemoNames.ADMINISTRATOR_KEY),
				new EntrySettings.Limits(900_000, 8_000_000, 16_000, 1_000_000, 10_000, 4_096, 10_000, 4_096),
				new EntrySettings.Leases(STORE_LEASE, Duration.ofSeconds(1), TASK_LEASE, CLOCK_MARGIN,
						Duration.ofSeconds(2)),
				new EntrySettings.Shards(SHARDS_PER_ZONE, REQUEST_SHARDS, Duration.ofMillis(20)), LogFormat.TEXT);
	}

	private static int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
			return socket.getLocalPort();
		}
	}

	StandinPlatform platform() {
		return this.platform;
	}

	List<Member> members() {
		return this.members;
	}

	List<Member> runningMembers() {
		return this.members.stream().filter((member) -> !member.stopped).toList();
	}

	/**
	 * Selects an entry VM round robin among the ready ones, as the load balancer of the
	 * platform does. Falls back to all running ones if none is ready.
	 * @return the base URL of an entry VM
	 */
	String nextBaseUrl() {
		List<Member> ready = runningMembers().stream().filter((member) -> member.daemon.isReady()).toList();
		List<Member> candidates = ready.isEmpty() ? runningMembers() : ready;
		return candidates.get(Math.floorMod(this.roundRobinCounter.getAndIncrement(), candidates.size())).url();
	}

	boolean isReady() {
		return this.members.stream().allMatch((member) -> member.daemon.isReady());
	}

	List<Throwable> brokenInvariants() {
		return List.copyOf(this.brokenInvariants);
	}

	@Override
	public void close() {
		runningMembers().forEach(Member::kill);
		this.platform.close();
	}

	/**
	 * An entry daemon of the demonstration and its settings.
	 */
	static final class Member {

		private final EntrySettings settings;

		private final EntryDaemon daemon;

		private volatile boolean stopped;

		Member(EntrySettings settings, EntryDaemon daemon) {
			this.settings = settings;
			this.daemon = daemon;
		}

		String url() {
			return "http://" + this.settings.httpAddress();
		}

		VmId vm() {
			return this.settings.vm();
		}

		EntryDaemon daemon() {
			return this.daemon;
		}

		void kill() {
			this.stopped = true;
			this.daemon.close();
		}

		CompletableFuture<Void> drain() {
			return this.daemon.drain().thenRunAsync(this::kill);
		}

	}

}
