package io.lentilstream.settings.process;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import io.lentilstream.model.AvailabilityZoneId;
import io.lentilstream.model.Identifiers;
import io.lentilstream.model.Resources;
import io.lentilstream.model.ServiceName;
import io.lentilstream.model.TeamId;
import io.lentilstream.model.VmId;

/**
 * The keys of the settings file of a stand-in platform, and the rules between them.
 */
final class StandinSettingsTable {

	/**
	 * The section that only the settings file of a stand-in platform contains.
	 */
	static final String SECTION = "standin";

	private static final String SERVICE = "service";

	private static final String ENTRY_VM = "entry-vm";

	private static final long BYTES_PER_MEGABYTE = 1 << 20;

	private static final long MILLI_CORES = 1_000;

	private static final SettingKey<Long> SEED = SettingKey.required(SECTION, "seed", ValueParsers.seed(),
			"Seed of the variation of service times.");

	private static final SettingKey<Duration> USAGE_LAG = SettingKey.optional(SECTION, "usage-lag",
			ValueParsers.duration("0s", "10m"), "5s", "Lag of the workers' usage reports.");

	private static final SettingKey<Duration> LIST_LAG = SettingKey.optional(SECTION, "list-lag",
			ValueParsers.duration("0s", "10m"), "3s", "Lag of the list of VMs.");

	private static final SettingKey<String> HOST = SettingKey.optional("listen", "host", ValueParsers.host(),
			"127.0.0.1", "Address that the platform listens on.");

	private static final SettingKey<Integer> PORT = SettingKey.optional("listen", "port", ValueParsers.port(true), "0",
			"Port that the platform listens on; 0 chooses a free port.");

	private static final SettingKey<List<AvailabilityZoneId>> ZONES = SettingKey.required("zones", "names",
			ValueParsers.list(ValueParsers.id("an id", AvailabilityZoneId::new), 1), "Availability zones.");

	private static final SettingKey<Integer> VMS_PER_RACK = SettingKey.optional("racks", "vms-per-rack",
			ValueParsers.integer(1, 1_000), "11", "Workers or endpoints of a zone in one rack.");

	private static final SettingKey<Integer> WORKERS = SettingKey.optional("workers", "per-zone",
			ValueParsers.integer(0, 20_000), "0", "Workers in each zone.");

	private static final SettingKey<Integer> CORES = SettingKey.optional("workers", "cores",
			ValueParsers.integer(1, 10_000), "32", "Cores of each worker.");

	private static final SettingKey<Long> MEMORY = SettingKey.optional("workers", "memory",
			ValueParsers.size("1MiB", "100000GB"), "125GB", "Memory of each worker.");

	private static final SettingKey<Integer> ACCELERATORS = SettingKey.optional("workers", "accelerators",
			ValueParsers.integer(0, 1_000), "0", "Accelerators of each worker.");

	private static final SettingKey<TeamId> TEAM = SettingKey.required(SERVICE + SettingKey.NAMED_SUFFIX, "team",
			ValueParsers.id("an id", TeamId::new), "Team of the service.");

	private static final SettingKey<Integer> ENDPOINTS = SettingKey.required(SERVICE + SettingKey.NAMED_SUFFIX,
			"endpoints-per-zone", ValueParsers.integer(0, 10_000), "Endpoints of the service in each zone.");

	private static final SettingKey<Integer> SLOTS = SettingKey.optional(SERVICE + SettingKey.NAMED_SUFFIX, "slots",
			ValueParsers.integer(1, 10_000), "8", "Requests that an endpoint runs at once.");

	private static final SettingKey<Integer> CONNECTIONS = SettingKey.optional(SERVICE + SettingKey.NAMED_SUFFIX,
			"connections", ValueParsers.integer(1, 100_000), "64",
			"Requests without a complete answer that an endpoint holds at once.");

	private static final SettingKey<Duration> SERVICE_TIME = SettingKey.optional(SERVICE + SettingKey.NAMED_SUFFIX,
			"service-time", ValueParsers.duration("0s", "24h"), "20ms",
			"Mean service time. The header Standin-Service-Ms of a request sets another one.");

	private static final SettingKey<Integer> SPREAD = SettingKey.optional(SERVICE + SettingKey.NAMED_SUFFIX,
			"spread-percent", ValueParsers.integer(0, 100), "0",
			"How far a service time is from the mean at most, in percent.");

	private static final SettingKey<Integer> STRAGGLERS = SettingKey.optional(SERVICE + SettingKey.NAMED_SUFFIX,
			"straggler-percent", ValueParsers.integer(0, 100), "0", "Share of stragglers, in percent.");

	private static final SettingKey<Integer> STRAGGLER_FACTOR = SettingKey.optional(SERVICE + SettingKey.NAMED_SUFFIX,
			"straggler-factor", ValueParsers.integer(1, 1_000), "50", "How many times longer a straggler runs.");

	private static final SettingKey<AvailabilityZoneId> ENTRY_ZONE = SettingKey.required(
			ENTRY_VM + SettingKey.NAMED_SUFFIX, "zone", ValueParsers.id("an id", AvailabilityZoneId::new),
			"Availability zone of the entry VM.");

	private static final SettingKey<HostPort> ENTRY_ADDRESS = SettingKey.required(ENTRY_VM + SettingKey.NAMED_SUFFIX,
			"address", ValueParsers.address(), "Peer address of the entry VM.");

	private static final SettingKey<LogFormat> LOG_FORMAT = SettingKey.optional("logs", "format",
			ValueParsers.choice(LogFormat.class), "text", "Layout of log lines.");

	static final List<SettingKey<?>> KEYS = List.of(SEED, USAGE_LAG, LIST_LAG, HOST, PORT, ZONES, VMS_PER_RACK, WORKERS,
			CORES, MEMORY, ACCELERATORS, TEAM, ENDPOINTS, SLOTS, CONNECTIONS, SERVICE_TIME, SPREAD, STRAGGLERS,
			STRAGGLER_FACTOR, ENTRY_ZONE, ENTRY_ADDRESS, LOG_FORMAT);

	private StandinSettingsTable() {
	}

	static SettingsResult<StandinSettings> load(Path file) {
		SettingsFileReader reader = SettingsFileReader.read(file, KEYS);
		List<AvailabilityZoneId> zones = reader.get(ZONES);
		for (String name : reader.namesOf(ENTRY_VM)) {
			AvailabilityZoneId zone = reader.get(ENTRY_ZONE, section(ENTRY_VM, name));
			if (zone != null && zones != null && !zones.contains(zone)) {
				reader.addMistake(section(ENTRY_VM, name), ENTRY_ZONE.name(), SettingsMessages.quoted(zone.value()),
						SettingsMessages.oneOfList(zones));
			}
		}
		checkSectionNames(reader, SERVICE);
		checkSectionNames(reader, ENTRY_VM);
		return reader.result(() -> build(reader));
	}

	private static void checkSectionNames(SettingsFileReader reader, String kind) {
		for (String name : reader.namesOf(kind)) {
			if (!Identifiers.isValid(name)) {
				reader.addMistake(section(kind, name), "", SettingsMessages.quoted(name),
						SettingsMessages.EXPECTED_SECTION_NAME);
			}
		}
	}

	private static String section(String kind, String name) {
		return kind + " " + name;
	}

	private static StandinSettings build(SettingsFileReader reader) {
		List<StandinSettings.Service> services = new ArrayList<>();
		for (String name : reader.namesOf(SERVICE)) {
			String section = section(SERVICE, name);
			services.add(new StandinSettings.Service(new ServiceName(name), reader.get(TEAM, section),
					reader.get(ENDPOINTS, section), reader.get(SLOTS, section), reader.get(CONNECTIONS, section),
					reader.get(SERVICE_TIME, section), reader.get(SPREAD, section), reader.get(STRAGGLERS, section),
					reader.get(STRAGGLER_FACTOR, section)));
		}
		List<StandinSettings.EntryVm> entryVms = new ArrayList<>();
		for (String name : reader.namesOf(ENTRY_VM)) {
			String section = section(ENTRY_VM, name);
			entryVms.add(new StandinSettings.EntryVm(new VmId(name), reader.get(ENTRY_ZONE, section),
					reader.get(ENTRY_ADDRESS, section)));
		}
		Resources capacity = new Resources(reader.get(CORES) * MILLI_CORES, reader.get(MEMORY) / BYTES_PER_MEGABYTE,
				reader.get(ACCELERATORS));
		return new StandinSettings(new HostPort(reader.get(HOST), reader.get(PORT)), reader.get(SEED),
				reader.get(USAGE_LAG), reader.get(LIST_LAG), reader.get(ZONES), reader.get(VMS_PER_RACK),
				reader.get(WORKERS), capacity, List.copyOf(services), List.copyOf(entryVms), reader.get(LOG_FORMAT));
	}

}
