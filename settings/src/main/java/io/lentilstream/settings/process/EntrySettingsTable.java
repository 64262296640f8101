package io.lentilstream.settings.process;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

import io.lentilstream.model.AvailabilityZoneId;
import io.lentilstream.model.VmId;

/**
 * The keys of the settings file of an entry daemon, and the rules between them.
 */
final class EntrySettingsTable {

	private static final int MIN_KEY_LENGTH = 16;

	/**
	 * The space in a frame that is reserved for the path, headers and ids of a forwarded
	 * request, in bytes.
	 */
	private static final int FRAME_OVERHEAD = 64_000;

	private static final SettingKey<VmId> VM = SettingKey.required("vm", "id", ValueParsers.id("an id", VmId::new),
			"Id of the VM that this daemon runs on.");

	private static final SettingKey<AvailabilityZoneId> ZONE = SettingKey.required("vm", "zone",
			ValueParsers.id("an id", AvailabilityZoneId::new), "Availability zone of the VM.");

	private static final SettingKey<String> REGION = SettingKey.required("vm", "region",
			ValueParsers.id("an id", (text) -> text), "Region of the availability zone.");

	private static final SettingKey<String> HTTP_HOST = SettingKey.optional("listen", "http-host", ValueParsers.host(),
			"0.0.0.0", "Address that callers and operators connect to.");

	private static final SettingKey<Integer> HTTP_PORT = SettingKey.optional("listen", "http-port",
			ValueParsers.port(true), "8080", "Port that callers and operators connect to; 0 chooses a free port.");

	private static final SettingKey<String> PEER_HOST = SettingKey.required("listen", "peer-host", ValueParsers.host(),
			"Address that other entry VMs connect to.");

	private static final SettingKey<Integer> PEER_PORT = SettingKey.optional("listen", "peer-port",
			ValueParsers.port(true), "7070", "Port that other entry VMs connect to; 0 chooses a free port.");

	private static final SettingKey<List<ConfiguredPeer>> PEERS = SettingKey.optional("peers", "entry-vms",
			ValueParsers.list(ValueParsers.peer(), 0), "",
			"Other entry VMs, such as entry-2 zone-a 10.0.0.2:7070. More are found in the platform's list of VMs; these are also known in a zone that is cut off from the platform.");

	private static final SettingKey<String> BASE_URL = SettingKey.required("platform", "base-url",
			ValueParsers.baseUrl(),
			"Base URL of the platform; the store is at /store and the list of VMs at /directory.");

	private static final SettingKey<Duration> CONNECT_TIMEOUT = SettingKey.optional("platform", "connect-timeout",
			ValueParsers.duration("1ms", "1m"), "500ms", "Longest time to open a connection to the platform.");

	private static final SettingKey<Duration> CALL_TIMEOUT = SettingKey.optional("platform", "call-timeout",
			ValueParsers.duration("1ms", "5m"), "2s",
			"Longest time of a call to the store, a worker or the list of VMs. Must be shorter than the store lease less its margin.");

	private static final SettingKey<Duration> LIST_INTERVAL = SettingKey.optional("platform", "list-interval",
			ValueParsers.duration("100ms", "10m"), "2s", "Time between two reads of the list of VMs.");

	private static final SettingKey<Secret> PEER_KEY = SettingKey.optional("keys", "peer-key",
			ValueParsers.secret(MIN_KEY_LENGTH), "",
			"Key that entry VMs prove to each other. Give this or peer-key-file.");

	private static final SettingKey<Path> PEER_KEY_FILE = SettingKey.optional("keys", "peer-key-file",
			ValueParsers.path(), "", "File that holds the peer key.");

	private static final SettingKey<Secret> ADMINISTRATOR_KEY = SettingKey.optional("keys", "administrator-key",
			ValueParsers.secret(MIN_KEY_LENGTH), "", "Key of the administrator. Give this or administrator-key-file.");

	private static final SettingKey<Path> ADMINISTRATOR_KEY_FILE = SettingKey.optional("keys", "administrator-key-file",
			ValueParsers.path(), "", "File that holds the administrator's key.");

	private static final SettingKey<Long> REQUEST_BODY = SettingKey.optional("limits", "request-body",
			ValueParsers.size("1KB", "64MB"), "900KB", "Largest body of a request.");

	private static final SettingKey<Long> ANSWER_BODY = SettingKey.optional("limits", "answer-body",
			ValueParsers.size("1KB", "64MB"), "8MB", "Largest body of an endpoint's answer.");

	private static final SettingKey<Long> HEADERS = SettingKey.optional("limits", "headers",
			ValueParsers.size("1KB", "1MB"), "16KB", "Largest headers of a request.");

	private static final SettingKey<Long> FRAME = SettingKey.optional("limits", "frame",
			ValueParsers.size("64KB", "64MB"), "1MB", "Largest frame between entry VMs.");

	private static final SettingKey<Integer> QUEUED_REQUESTS = SettingKey.optional("limits", "queued-requests",
			ValueParsers.integer(1, 1_000_000), "10000", "Requests that wait at once, over all teams and services.");

	private static final SettingKey<Integer> QUEUED_FRAMES = SettingKey.optional("limits", "queued-frames",
			ValueParsers.integer(16, 1_000_000), "4096", "Frames that wait for one peer.");

	private static final SettingKey<Integer> QUEUED_COMMITS = SettingKey.optional("limits", "queued-commits",
			ValueParsers.integer(16, 1_000_000), "10000", "Entries that wait for a write of a shard's log.");

	private static final SettingKey<Integer> CONNECTIONS = SettingKey.optional("limits", "connections",
			ValueParsers.integer(1, 1_000_000), "4096", "Open connections of callers.");

	private static final SettingKey<Duration> STORE_LEASE = SettingKey.optional("leases", "store-lease",
			ValueParsers.duration("100ms", "10m"), "10s", "Length of this VM's lease in the store.");

	private static final SettingKey<Duration> STORE_MARGIN = SettingKey.optional("leases", "store-margin",
			ValueParsers.duration("10ms", "10m"), "2s",
			"Safety margin before the end of the store lease. Must be shorter than half the lease.");

	private static final SettingKey<Duration> TASK_LEASE = SettingKey.optional("leases", "task-lease",
			ValueParsers.duration("100ms", "1h"), "30s", "Length of a task's lease at its worker.");

	private static final SettingKey<Duration> CLOCK_MARGIN = SettingKey.optional("leases", "clock-margin",
			ValueParsers.duration("1ms", "10m"), "2s",
			"Time added to a task lease before the task may start elsewhere.");

	private static final SettingKey<Duration> OUTAGE_GRACE = SettingKey.optional("leases", "outage-grace",
			ValueParsers.duration("0s", "24h"), "10m",
			"How long existing task leases are renewed while the store does not answer.");

	private static final SettingKey<Integer> PER_ZONE = SettingKey.optional("shards", "per-zone",
			ValueParsers.integer(1, 1_024), "8", "Shards per availability zone; the same on all entry VMs.");

	private static final SettingKey<Integer> REQUEST_SHARDS = SettingKey.optional("shards", "request-shards-per-region",
			ValueParsers.integer(1, 1_024), "16", "Request shards per region; the same on all entry VMs.");

	private static final SettingKey<Duration> COMMIT_INTERVAL = SettingKey.optional("shards", "commit-interval",
			ValueParsers.duration("1ms", "10s"), "20ms", "Shortest time between two writes of a shard's log.");

	private static final SettingKey<LogFormat> LOG_FORMAT = SettingKey.optional("logs", "format",
			ValueParsers.choice(LogFormat.class), "text", "Layout of log lines.");

	static final List<SettingKey<?>> KEYS = List.of(VM, ZONE, REGION, HTTP_HOST, HTTP_PORT, PEER_HOST, PEER_PORT, PEERS,
			BASE_URL, CONNECT_TIMEOUT, CALL_TIMEOUT, LIST_INTERVAL, PEER_KEY, PEER_KEY_FILE, ADMINISTRATOR_KEY,
			ADMINISTRATOR_KEY_FILE, REQUEST_BODY, ANSWER_BODY, HEADERS, FRAME, QUEUED_REQUESTS, QUEUED_FRAMES,
			QUEUED_COMMITS, CONNECTIONS, STORE_LEASE, STORE_MARGIN, TASK_LEASE, CLOCK_MARGIN, OUTAGE_GRACE, PER_ZONE,
			REQUEST_SHARDS, COMMIT_INTERVAL, LOG_FORMAT);

	private EntrySettingsTable() {
	}

	static SettingsResult<EntrySettings> load(Path file) {
		SettingsFileReader reader = SettingsFileReader.read(file, KEYS);
		Secret peerKey = reader.secret(PEER_KEY, PEER_KEY_FILE);
		Secret administratorKey = reader.secret(ADMINISTRATOR_KEY, ADMINISTRATOR_KEY_FILE);
		checkRules(reader);
		return reader.result(() -> build(reader, peerKey, administratorKey));
	}

	private static void checkRules(SettingsFileReader reader) {
		Duration lease = reader.get(STORE_LEASE);
		Duration margin = reader.get(STORE_MARGIN);
		reader.require(STORE_MARGIN, margin, lease, () -> margin.multipliedBy(2).compareTo(lease) < 0,
				"less than half of store-lease");
		Duration call = reader.get(CALL_TIMEOUT);
		reader.require(CALL_TIMEOUT, call, (margin != null) ? lease : null,
				() -> call.compareTo(lease.minus(margin)) < 0, "less than store-lease less store-margin");
		Long body = reader.get(REQUEST_BODY);
		Long frame = reader.get(FRAME);
		reader.require(FRAME, frame, body, () -> frame >= body + FRAME_OVERHEAD,
				"at least request-body and 64KB, since peers forward requests in one frame");
	}

	private static EntrySettings build(SettingsFileReader reader, Secret peerKey, Secret administratorKey) {
		List<ConfiguredPeer> peers = reader.get(PEERS);
		return new EntrySettings(reader.get(VM), reader.get(ZONE), reader.get(REGION),
				new HostPort(reader.get(HTTP_HOST), reader.get(HTTP_PORT)),
				new HostPort(reader.get(PEER_HOST), reader.get(PEER_PORT)), (peers != null) ? peers : List.of(),
				new EntrySettings.Platform(reader.get(BASE_URL), reader.get(CONNECT_TIMEOUT), reader.get(CALL_TIMEOUT),
						reader.get(LIST_INTERVAL)),
				peerKey, administratorKey, limits(reader),
				new EntrySettings.Leases(reader.get(STORE_LEASE), reader.get(STORE_MARGIN), reader.get(TASK_LEASE),
						reader.get(CLOCK_MARGIN), reader.get(OUTAGE_GRACE)),
				new EntrySettings.Shards(reader.get(PER_ZONE), reader.get(REQUEST_SHARDS), reader.get(COMMIT_INTERVAL)),
				reader.get(LOG_FORMAT));
	}

	private static EntrySettings.Limits limits(SettingsFileReader reader) {
		return new EntrySettings.Limits(Math.toIntExact(reader.get(REQUEST_BODY)),
				Math.toIntExact(reader.get(ANSWER_BODY)), Math.toIntExact(reader.get(HEADERS)),
				Math.toIntExact(reader.get(FRAME)), reader.get(QUEUED_REQUESTS), reader.get(QUEUED_FRAMES),
				reader.get(QUEUED_COMMITS), reader.get(CONNECTIONS));
	}

}
