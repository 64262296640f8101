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
import io.lentilstream.entry.records.WorkKind;
import io.lentilstream.entry.records.WorkKindDirectory;
import io.lentilstream.entry.requests.ServiceDirectory;
import io.lentilstream.entry.work.JobDefaults;
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
 * Holds the settings in force in typed form. A document replaces its earlier revision as
 * a whole.
 */
public final class SettingsInForce implements WorkKindDirectory, JobDefaults {

	private static final String TEAMS = "/teams/";

	private static final double PERCENT = 100;

	private final Map<TeamId, TeamSettings> teams = new TreeMap<>();

	private final Map<TeamId, Map<String, String>> values = new HashMap<>();

	private final Map<StoreKey, Revision> revisions = new HashMap<>();

	private PlatformSettings platform = PlatformSettings.of(Map.of());

	/**
	 * Returns the format in which replicas keep documents.
	 * @return reads documents of the store and of peers
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
	 * Puts a document in force. Documents that were applied in order may arrive here from
	 * several threads in another order, so an earlier revision than the one in force is
	 * passed over.
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
			throw new IllegalStateException("a document in force cannot be read: " + key);
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
	 * Returns the services for the routes.
	 * @param slotsOf the number of listed slots of a team's endpoints, over all zones
	 * @return the services by team and name
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
	 * Returns the quotas of one shard. A team's limit is split evenly over all shards,
	 * since shards decide on their own.
	 * @param shards the number of worker shards of the system
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

	// An accelerator cannot be split, so a shard may get one more than its part.
	private static long ceilDiv(long amount, int parts) {
		return (amount + parts - 1) / parts;
	}

	/**
	 * Returns the zones of a region in their order.
	 * @param region the region
	 * @param own the zone of this entry VM, which is always among them
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
	 * Returns the values of a team for the check of access keys.
	 * @param team the team
	 * @return the values by path; empty for an unknown team
	 */
	public synchronized Map<String, String> valuesOf(TeamId team) {
		return this.values.getOrDefault(team, Map.of());
	}

	/**
	 * Returns the teams of the settings in force.
	 * @return the settings by team
	 */
	public synchronized List<TeamSettings> teams() {
		return List.copyOf(this.teams.values());
	}

	@Override
	public synchronized Optional<WorkKind> find(TeamId team, KindName kind) {
		TeamSettings settings = this.teams.get(team);
		KindSettings found = (settings != null) ? settings.kinds().get(kind) : null;
		if (found == null || found.urgency() != Urgency.DEFERRABLE || found.service().isEmpty()) {
			return Optional.empty();
		}
		ServiceSettings service = settings.services().get(found.service().get());
		if (service == null) {
			return Optional.empty();
		}
		return Optional.of(new WorkKind(new ServiceKey(team, service.name()), service.timeout().toMillis(),
				found.keepTime().toMillis()));
	}

	@Override
	public synchronized Resources sizeOf(TeamId team, KindName kind) {
		TeamSettings settings = this.teams.get(team);
		KindSettings found = (settings != null) ? settings.kinds().get(kind) : null;
		if (found == null) {
			throw new IllegalArgumentException("The team has no kind " + kind + ".");
		}
		return found.defaultSize();
	}

}
