package io.lentilstream.entry.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;

import io.lentilstream.administration.DocumentCodec;
import io.lentilstream.administration.DocumentOutcome;
import io.lentilstream.clients.StoreKey;
import io.lentilstream.entry.calls.DefaultTaskSizes;
import io.lentilstream.entry.records.DeferrableKind;
import io.lentilstream.entry.records.DeferrableKindDirectory;
import io.lentilstream.entry.requests.ServiceDirectory;
import io.lentilstream.membership.DocumentParser;
import io.lentilstream.membership.SettingsDocument;
import io.lentilstream.model.AvailabilityZoneId;
import io.lentilstream.model.KindName;
import io.lentilstream.model.Resources;
import io.lentilstream.model.Revision;
import io.lentilstream.model.TeamId;
import io.lentilstream.model.Urgency;
import io.lentilstream.requests.ServiceKey;
import io.lentilstream.requests.ServicePolicy;
import io.lentilstream.settings.schema.KindSettings;
import io.lentilstream.settings.schema.PlatformSettings;
import io.lentilstream.settings.schema.ServiceSettings;
import io.lentilstream.settings.schema.TeamSettings;
import io.lentilstream.tasks.TeamQuota;
import io.lentilstream.wire.PeerMessage;

/**
 * The settings in force, in typed form. Each document replaces its previous revision
 * completely, never in part.
 */
public final class SettingsInForce implements DeferrableKindDirectory, DefaultTaskSizes {

	private static final String TEAMS = "/teams/";

	private static final double PERCENT = 100;

	private final Map<TeamId, TeamSettings> teams = new TreeMap<>();

	private final Map<TeamId, Map<String, String>> values = new HashMap<>();

	private final Map<StoreKey, Revision> revisions = new HashMap<>();

	private PlatformSettings platform = PlatformSettings.of(Map.of());

	/**
	 * Returns the parser that replicas use to decode settings documents.
	 * @return the parser for documents from the store and from peers
	 */
	public static DocumentParser documentParser() {
		return (key, bytes) -> {
			DocumentOutcome outcome = DocumentCodec.decode(key.path(), bytes);
			if (!(outcome instanceof DocumentOutcome.Decoded decoded)) {
				return Optional.empty();
			}
			return Optional.of(new SettingsDocument(key, decoded.document().revision(),
					new PeerMessage.Bytes(DocumentCodec.encodeWithoutHistory(key.path(), decoded.document()))));
		};
	}

	/**
	 * Puts a document in force. Several threads may call this method in an order other
	 * than that of the revisions, so a revision that is not later than the one in force
	 * is ignored.
	 * @param document the document
	 */
	public synchronized void apply(SettingsDocument document) {
		StoreKey key = document.key();
		if (document.revision().compareTo(this.revisions.getOrDefault(key, Revision.NONE)) <= 0) {
			return;
		}
		this.revisions.put(key, document.revision());
		DocumentOutcome outcome = DocumentCodec.decode(key.path(), document.content().array());
		if (!(outcome instanceof DocumentOutcome.Decoded decoded)) {
			throw new IllegalStateException("cannot decode a settings document that is in force: " + key);
		}
		if (key.path().startsWith(TEAMS)) {
			TeamId team = new TeamId(key.path().substring(TEAMS.length()));
			this.teams.put(team, TeamSettings.of(team, decoded.document().values()));
			this.values.put(team, decoded.document().values());
		}
		else {
			this.platform = PlatformSettings.of(decoded.document().values());
		}
	}

	/**
	 * Returns the policies and default timeouts of all services.
	 * @param slotsOf returns the number of listed slots of a team, summed over all zones
	 * @return the services by team and service name
	 */
	public synchronized Map<ServiceKey, ServiceDirectory.Entry> services(Function<TeamId, Integer> slotsOf) {
		Map<ServiceKey, ServiceDirectory.Entry> services = new HashMap<>();
		this.teams.forEach((team, settings) -> settings.services().forEach((name, service) -> {
			ServiceKey key = new ServiceKey(team, name);
			double share = share(settings.quota().slots(), slotsOf.apply(team));
			services.put(key, new ServiceDirectory.Entry(policy(key, service, share), service.timeout().toMillis()));
		}));
		return services;
	}

	private static double share(int quota, int slots) {
		return (slots == 0 || quota >= slots) ? 1 : Math.max(1, quota) / (double) slots;
	}

	private static ServicePolicy policy(ServiceKey key, ServiceSettings service, double share) {
		return new ServicePolicy(key, key, service.urgency(), service.weight(), share, service.repeatable(),
				service.spill(), service.queueLimit(), service.retryBudgetPercent() / PERCENT, service.hedging(),
				service.expectedTime());
	}

	/**
	 * Returns the quotas of one shard. The limit of a team is divided evenly among all
	 * shards, because each shard enforces its quotas independently.
	 * @param shards the number of task shards of the system
	 * @return the quotas
	 */
	public synchronized List<TeamQuota> quotas(int shards) {
		List<TeamQuota> quotas = new ArrayList<>();
		this.teams.forEach((team, settings) -> {
			Resources limit = settings.quota().limit();
			quotas.add(new TeamQuota(team, new Resources(limit.milliCores() / shards, limit.memoryMegabytes() / shards,
					ceilDiv(limit.accelerators(), shards)), settings.quota().weight()));
		});
		return quotas;
	}

	// An accelerator cannot be divided, so the share of a shard is rounded up.
	private static long ceilDiv(long amount, int parts) {
		return (amount + parts - 1) / parts;
	}

	/**
	 * Returns the zones of a region in ascending order.
	 * @param region the region
	 * @param own the zone of this entry VM, which is always included
	 * @return the zones
	 */
	public synchronized List<AvailabilityZoneId> zonesOf(String region, AvailabilityZoneId own) {
		List<AvailabilityZoneId> zones = new ArrayList<>();
		this.platform.regions().forEach((zone, name) -> {
			if (name.equals(region)) {
				zones.add(zone);
			}
		});
		if (!zones.contains(own)) {
			zones.add(own);
		}
		zones.sort(null);
		return zones;
	}

	/**
	 * Returns the number of zones of the whole system.
	 * @return the number of zones in the settings, at least 1
	 */
	public synchronized int zoneCount() {
		return Math.max(1, this.platform.regions().size());
	}

	/**
	 * Returns the number of regions of the whole system.
	 * @return the number of regions in the settings, at least 1
	 */
	public synchronized int regionCount() {
		return Math.max(1, (int) this.platform.regions().values().stream().distinct().count());
	}

	/**
	 * Returns the values of a team, for the verification of access keys.
	 * @param team the team
	 * @return the values by path; empty for an unknown team
	 */
	public synchronized Map<String, String> valuesOf(TeamId team) {
		return this.values.getOrDefault(team, Map.of());
	}

	/**
	 * Returns the teams of the settings in force.
	 * @return the settings of each team
	 */
	public synchronized List<TeamSettings> teams() {
		return List.copyOf(this.teams.values());
	}

	@Override
	public synchronized Optional<DeferrableKind> find(TeamId team, KindName kind) {
		TeamSettings settings = this.teams.get(team);
		KindSettings kindSettings = (settings != null) ? settings.kinds().get(kind) : null;
		if (kindSettings == null || kindSettings.urgency() != Urgency.DEFERRABLE || kindSettings.service().isEmpty()) {
			return Optional.empty();
		}
		ServiceSettings service = settings.services().get(kindSettings.service().get());
		if (service == null) {
			return Optional.empty();
		}
		return Optional.of(new DeferrableKind(new ServiceKey(team, service.name()), service.timeout().toMillis(),
				kindSettings.keepTime().toMillis()));
	}

	@Override
	public synchronized Resources sizeOf(TeamId team, KindName kind) {
		TeamSettings settings = this.teams.get(team);
		KindSettings kindSettings = (settings != null) ? settings.kinds().get(kind) : null;
		if (kindSettings == null) {
			throw new IllegalArgumentException("The team has no kind " + kind + ".");
		}
		return kindSettings.defaultSize();
	}

}
