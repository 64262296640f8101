package io.lentilstream.entry;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import com.google.common.flogger.FluentLogger;

import io.lentilstream.administration.AccessKey;
import io.lentilstream.administration.AccessPolicy;
import io.lentilstream.administration.SettingsManager;
import io.lentilstream.clients.StoreKey;
import io.lentilstream.clients.VmEntry;
import io.lentilstream.entry.directory.DirectoryDriver;
import io.lentilstream.entry.directory.EndpointPool;
import io.lentilstream.entry.directory.SlotCounts;
import io.lentilstream.entry.http.AdministrationAccess;
import io.lentilstream.entry.http.CallerRoutes;
import io.lentilstream.entry.http.EntryServer;
import io.lentilstream.entry.http.OperationsRoutes;
import io.lentilstream.entry.http.SettingsRoutes;
import io.lentilstream.entry.http.StatusRoutes;
import io.lentilstream.entry.http.WorkRoutes;
import io.lentilstream.entry.peers.PeerDriver;
import io.lentilstream.entry.peers.PeerRequestForwarder;
import io.lentilstream.entry.records.RecordShardDriver;
import io.lentilstream.entry.requests.RequestDriver;
import io.lentilstream.entry.requests.RequestIds;
import io.lentilstream.entry.requests.ServiceDirectory;
import io.lentilstream.entry.settings.SettingsInForce;
import io.lentilstream.entry.shards.OwnedShards;
import io.lentilstream.entry.shards.OwnershipDriver;
import io.lentilstream.entry.shards.ShardCountCheck;
import io.lentilstream.entry.shards.ShardMap;
import io.lentilstream.entry.tasks.TaskShardDriver;
import io.lentilstream.entry.telemetry.EntryMetrics;
import io.lentilstream.entry.telemetry.Tracing;
import io.lentilstream.entry.work.JobCallHandler;
import io.lentilstream.entry.work.OwnerCall;
import io.lentilstream.entry.work.OwnerCallHandler;
import io.lentilstream.entry.work.OwnerRouter;
import io.lentilstream.entry.work.RecordCallHandler;
import io.lentilstream.membership.LocalState;
import io.lentilstream.membership.MembershipView;
import io.lentilstream.membership.PeerAddress;
import io.lentilstream.membership.SettingsReplica;
import io.lentilstream.model.AvailabilityZoneId;
import io.lentilstream.model.JobId;
import io.lentilstream.model.MonotonicClock;
import io.lentilstream.model.ShardId;
import io.lentilstream.model.VmId;
import io.lentilstream.requests.PoolSnapshot;
import io.lentilstream.requests.RequestDefaults;
import io.lentilstream.requests.RequestScheduler;
import io.lentilstream.settings.process.EntrySettings;
import io.lentilstream.shards.ownership.ShardOwnership;
import io.lentilstream.shards.ownership.ShardScope;
import io.lentilstream.tasks.TeamQuota;
import io.lentilstream.tasks.WorkerDescription;
import io.lentilstream.wire.LocalPeer;
import io.lentilstream.wire.PeerKey;
import io.lentilstream.wire.PeerTransport;
import io.lentilstream.wire.ServiceRef;

/**
 * Runs one entry daemon: listens for callers, operators and peers, and wraps the decision
 * libraries with I/O, timers and threads.
 */
public final class EntryDaemon implements AutoCloseable {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final String PREFIX = "entry: ";

	private static final int PEER_THREADS = 1;

	private static final long TICK_MILLIS = 10;

	private static final long REPORT_MILLIS = 100;

	private static final long CHECK_RETRY_MILLIS = 500;

	private final EntrySettings settings;

	private final EntryOptions options;

	private final MonotonicClock clock;

	private final EntryThreads threads;

	private final EntryPlatform platform;

	private final EntryMetrics metrics = new EntryMetrics();

	private final Tracing tracing;

	private final SettingsInForce settingsInForce = new SettingsInForce();

	private final SlotCounts slotCounts = new SlotCounts();

	private final ServiceDirectory services = new ServiceDirectory();

	private final ShardMap shardMap;

	private final RequestScheduler scheduler;

	private final RequestDriver requests;

	private final EndpointPool endpoints;

	private final MembershipView view;

	private final SettingsReplica replica;

	private final PeerDriver peers;

	private final PeerReports peerReports;

	private final PeerRequestForwarder forwarder;

	private final OwnerRouter owners;

	private final OwnedShards shards;

	private final OwnershipDriver ownership;

	private final DirectoryDriver directory;

	private final EntryServer server;

	private final PeerTransport transport;

	private final Object applying = new Object();

	private final GracefulShutdown shutdown;

	private volatile List<VmEntry> listed = List.of();

	/**
	 * Creates a daemon that does nothing yet.
	 * @param settings the process settings
	 * @param options the clock, randomness and intervals
	 */
	public EntryDaemon(EntrySettings settings, EntryOptions options) {
		this.settings = settings;
		this.options = options;
		this.clock = options.clock();
		this.threads = new EntryThreads(settings.vm().value(), options.brokenInvariant());
		this.platform = new EntryPlatform(settings, options.wallClockMillis());
		this.tracing = new Tracing(options.spans());
		this.shardMap = new ShardMap(settings.zone(), settings.shards().perZone(), settings.region(),
				settings.shards().requestShardsPerRegion());
		LocalPeer self = new LocalPeer(settings.vm(), settings.zone(), options.wallClockMillis().getAsLong());
		RequestIds ids = new RequestIds(self.vm(), self.incarnation());
		this.view = new MembershipView(self, options.membership());
		this.replica = new SettingsReplica(self, options.membership(), SettingsInForce.documentParser(), this.view,
				options.newGenerator());
		this.peerReports = new PeerReports(settings.zone());
		this.forwarder = new PeerRequestForwarder(this::transport, this.clock, this.threads.timers());
		this.scheduler = new RequestScheduler(RequestDefaults.standard(), options::newGenerator);
		this.requests = new RequestDriver(this.scheduler, this.platform.endpoints(), this.forwarder, this.clock);
		this.endpoints = new EndpointPool(this.shardMap, this.platform.endpoints()::inFlight,
				(owned) -> this.requests.perform(this.scheduler.updateEndpoints(this.clock.now(), owned)));
		this.shards = new OwnedShards(this.shardMap, this.endpoints, shardFactory(ids), this::updateTaskShards);
		this.ownership = newOwnership();
		this.owners = new OwnerRouter(this::shardOf, this::localOwner, this::remoteOwner, this.forwarder, ids);
		this.peers = new PeerDriver(this.view, this.replica, this.platform.store(), this.clock, this::localState,
				new EntryPeerListener(this, options.brokenInvariant()));
		this.transport = new PeerTransport(self,
				new PeerKey(new String(settings.peerKey().reveal(), java.nio.charset.StandardCharsets.UTF_8)),
				options.random(), this.peers, PEER_THREADS, settings.limits().frameBytes());
		this.directory = new DirectoryDriver(this.platform.directory(), this::zones, this::listed,
				options.brokenInvariant());
		this.shutdown = new GracefulShutdown(new GracefulShutdown.Steps() {

			@Override
			public void tellPeers() {
				EntryDaemon.this.peers.leave();
			}

			@Override
			public void refuseNewRequests() {
				EntryDaemon.this.requests.perform(EntryDaemon.this.scheduler.drain(EntryDaemon.this.clock.now()));
			}

			@Override
			public int requestsInFlight() {
				return EntryDaemon.this.requests.pendingCount() + EntryDaemon.this.owners.inFlight();
			}

			@Override
			public CompletableFuture<Void> releaseShards() {
				return EntryDaemon.this.ownership.shutdown();
			}

		}, this.clock, this.threads.timers(), options.lameDuckMillis());
		this.server = newServer(ids);
	}

	private EntryShardFactory shardFactory(RequestIds ids) {
		EntrySettings.Shards counts = this.settings.shards();
		return new EntryShardFactory(
				() -> EntrySettingsMapping.logs(this.settings,
						this.settingsInForce.zoneCount() * counts.perZone()
								+ this.settingsInForce.regionCount() * counts.requestShardsPerRegion()),
				EntrySettingsMapping.tasks(this.settings), this.platform.workers(),
				new RecordShardDriver.Environment(this.platform.store(), this.platform.endpoints(), this.requests,
						this.settingsInForce, ids, this.clock, this.threads.timers()),
				this.threads);
	}

	private OwnershipDriver newOwnership() {
		EntrySettings.Shards counts = this.settings.shards();
		ShardOwnership decisions = new ShardOwnership(EntrySettingsMapping.ownership(this.settings), this.settings.vm(),
				List.of(new ShardScope(this.settings.zone().value(), counts.perZone()),
						new ShardScope(this.settings.region(), counts.requestShardsPerRegion())),
				this.clock.now());
		return new OwnershipDriver(decisions, this.platform.store(), this.shards, this.clock, this.threads.newSerial(),
				this.threads.timers());
	}

	private EntryServer newServer(RequestIds ids) {
		EntryServer http = new EntryServer(this.settings);
		AdministrationAccess access = new AdministrationAccess(new AccessPolicy(new AccessKey(
				new String(this.settings.administratorKey().reveal(), java.nio.charset.StandardCharsets.UTF_8))),
				this.settingsInForce::valuesOf);
		http.install(new OperationsRoutes(this::isReady, this.metrics)::install);
		http.install(
				new CallerRoutes(this.requests, this.services, ids, this.tracing, this.metrics, this.clock)::install);
		http.install(new WorkRoutes(this.owners, this.settingsInForce)::install);
		http.install(new SettingsRoutes(new SettingsManager(this.platform.store()), access, this.replica::inForce,
				this.options.random(), this.options.wallClockMillis())::install);
		http.install(new StatusRoutes(access, this.shards, this.settingsInForce, this.view::peers,
				() -> this.scheduler.snapshot(this.clock.now()), this::drain)::install);
		return http;
	}

	/**
	 * Starts to listen and to take part.
	 */
	public void start() {
		this.transport
			.listen(new InetSocketAddress(this.settings.peerAddress().host(), this.settings.peerAddress().port()));
		this.peers.start(this.transport, this.threads.timers());
		this.peers.perform(this.view.addConfiguredPeers(this.clock.now(), configuredPeers()));
		this.directory.start(this.threads.timers(), this.settings.platform().listInterval().toMillis());
		every(TICK_MILLIS, this::tickRequests);
		every(REPORT_MILLIS, this::updatePeerReports);
		registerGauges();
		checkShardCounts();
		this.server.start();
		logger.atInfo()
			.log(PREFIX + "VM %s of zone %s listens on %s.", this.settings.vm(), this.settings.zone(),
					this.settings.httpAddress());
	}

	private List<PeerAddress> configuredPeers() {
		return this.settings.peers()
			.stream()
			.filter((peer) -> !peer.vm().equals(this.settings.vm()))
			.map((peer) -> new PeerAddress(peer.vm(), peer.zone(), peer.address().toString()))
			.toList();
	}

	private void every(long millis, Runnable task) {
		this.threads.timers().scheduleAtFixedRate(() -> {
			try {
				task.run();
			}
			catch (RuntimeException ex) {
				this.options.brokenInvariant().accept(ex);
			}
		}, millis, millis, TimeUnit.MILLISECONDS);
	}

	private void tickRequests() {
		if (!this.scheduler.isIdle()) {
			this.requests.tick();
		}
	}

	private void updatePeerReports() {
		this.requests
			.perform(this.scheduler.updatePeers(this.clock.now(), this.peerReports.reports(this.view.peers())));
		this.shards.endLingering(
				(shard) -> this.ownership.ownerOf(shard).filter((vm) -> !vm.equals(this.settings.vm())).isPresent());
	}

	private void checkShardCounts() {
		ShardCountCheck check = new ShardCountCheck(this.platform.store());
		EntrySettings.Shards counts = this.settings.shards();
		CompletableFuture<Optional<Boolean>> zone = check.agrees(this.settings.zone().value(), counts.perZone());
		CompletableFuture<Optional<Boolean>> region = check.agrees(this.settings.region(),
				counts.requestShardsPerRegion());
		zone.thenAcceptBoth(region, (zoneAgrees, regionAgrees) -> {
			if (zoneAgrees.isEmpty() || regionAgrees.isEmpty()) {
				this.threads.timers().schedule(this::checkShardCounts, CHECK_RETRY_MILLIS, TimeUnit.MILLISECONDS);
			}
			else if (zoneAgrees.get() && regionAgrees.get()) {
				this.ownership.tick();
			}
			else {
				logger.atSevere()
					.log(PREFIX + "the numbers of shards differ from those in the store; no shard is taken.");
			}
		});
	}

	private void registerGauges() {
		this.metrics.gauge("requests.pending", this.requests::pendingCount);
		this.metrics.gauge("endpoints.owned", this.endpoints::ownedCount);
		this.metrics.gauge("shards.worker", () -> this.shards.taskShards().size());
		this.metrics.gauge("shards.request", () -> this.shards.recordShards().size());
		this.metrics.gauge("store.reads", this.platform.meter()::reads);
		this.metrics.gauge("store.writes", this.platform.meter()::writes);
		this.metrics.gauge("store.watches", this.platform.meter()::watches);
	}

	private List<AvailabilityZoneId> zones() {
		return this.settingsInForce.zonesOf(this.settings.region(), this.settings.zone());
	}

	private void listed(AvailabilityZoneId zone, List<VmEntry> entries) {
		this.platform.learn(entries);
		this.peers.perform(this.view.applyPlatformList(this.clock.now(), zone, entries));
		if (zone.equals(this.settings.zone())) {
			this.listed = entries;
			this.endpoints.list(entries);
			updateTaskShards();
			this.ownership.listedAsLeaving(entries.stream()
				.filter((entry) -> entry.role() == VmEntry.Role.ENTRY && entry.status() == VmEntry.Status.LEAVING)
				.map(VmEntry::vm)
				.collect(Collectors.toSet()));
		}
		if (this.slotCounts.list(zone, entries)) {
			applySettings();
		}
	}

	private void updateTaskShards() {
		synchronized (this.applying) {
			updateTaskShardsAlone();
		}
	}

	private void updateTaskShardsAlone() {
		List<TeamQuota> quotas = this.settingsInForce
			.quotas(this.settingsInForce.zoneCount() * this.settings.shards().perZone());
		Map<ShardId, List<WorkerDescription>> byShard = this.listed.stream()
			.filter((entry) -> entry.role() == VmEntry.Role.WORKER)
			.collect(
					Collectors
						.groupingBy((entry) -> this.shardMap.ofWorker(entry.vm()),
								Collectors.mapping((entry) -> new WorkerDescription(entry.vm(), entry.rack(),
										entry.capacity(), entry.status() == VmEntry.Status.LEAVING),
										Collectors.toList())));
		this.shards.taskShards().forEach((shard, driver) -> {
			driver.updateQuotas(quotas);
			driver.updateWorkers(byShard.getOrDefault(shard, List.of()));
		});
	}

	/**
	 * Puts the settings in force into effect in all parts. One thread at a time does so:
	 * otherwise a thread that read the settings before a change could overwrite what
	 * another thread made of the changed ones.
	 */
	void applySettings() {
		synchronized (this.applying) {
			applySettingsAlone();
		}
	}

	private void applySettingsAlone() {
		var found = this.settingsInForce.services(this.slotCounts::of);
		this.services.replace(found);
		this.requests.perform(this.scheduler.updatePolicies(this.clock.now(),
				found.values().stream().map(ServiceDirectory.Entry::policy).toList()));
		updateTaskShards();
	}

	private LocalState localState() {
		Map<ServiceRef, Integer> free = new TreeMap<>();
		for (PoolSnapshot service : this.scheduler.snapshot(this.clock.now())) {
			free.put(new ServiceRef(service.service().team(), service.service().service()), service.freeSlots());
		}
		return new LocalState(this.replica.isReady(), this.replica.digest(), free, this.ownership.ownedShards());
	}

	private ShardId shardOf(OwnerCall call) {
		if (!call.operation().isJob()) {
			return this.shardMap.ofKey(call.team(), call.key());
		}
		JobId job = new JobId(call.key().value());
		List<AvailabilityZoneId> zones = zones();
		AvailabilityZoneId home = zones.get(ShardMap.index(call.key().value() + "/" + call.team(), zones.size()));
		return this.shardMap.ofJob(home, call.team(), job);
	}

	private Optional<OwnerCallHandler> localOwner(ShardId shard) {
		TaskShardDriver tasks = this.shards.taskShards().get(shard);
		if (tasks != null) {
			return Optional.of(new JobCallHandler(tasks, this.settingsInForce));
		}
		RecordShardDriver records = this.shards.recordShards().get(shard);
		return Optional.ofNullable(records).map((driver) -> new RecordCallHandler(driver, this.settingsInForce));
	}

	private Optional<VmId> remoteOwner(ShardId shard) {
		return this.view.ownerOf(shard)
			.or(() -> this.ownership.ownerOf(shard))
			.filter((vm) -> !vm.equals(this.settings.vm()));
	}

	/**
	 * Tells whether the balancer may send callers here.
	 * @return {@code true} once settings are complete, and until the shutdown begins
	 */
	public boolean isReady() {
		return this.replica.isReady() && !this.shutdown.hasBegun();
	}

	/**
	 * Begins the graceful shutdown.
	 * @return completes when the process may end
	 */
	public CompletableFuture<Void> drain() {
		return this.shutdown.begin();
	}

	/**
	 * Returns the end of the graceful shutdown, also of one that an operator began.
	 * @return completes when the process may end
	 */
	public CompletableFuture<Void> drained() {
		return this.shutdown.ended();
	}

	/**
	 * Ends the daemon at once, as a failure of its VM would: nothing is released and no
	 * peer is told.
	 */
	@Override
	public void close() {
		this.directory.close();
		this.peers.close();
		this.ownership.close();
		this.shards.stop();
		this.transport.close();
		this.server.close();
		this.threads.close();
		this.platform.close();
		this.tracing.close();
	}

	/**
	 * Returns the metrics.
	 * @return the metrics
	 */
	public EntryMetrics metrics() {
		return this.metrics;
	}

	/**
	 * Returns the revision of a settings document that is in force here.
	 * @param document the path of the document
	 * @return the revision; 0 if there is none
	 */
	public long revisionInForce(String document) {
		return this.replica.revisionOf(new StoreKey(document)).value();
	}

	PeerTransport transport() {
		return this.transport;
	}

	EntryParts parts() {
		return new EntryParts(this.settingsInForce, this.peerReports, this.forwarder,
				new PeerRequests(this.requests, this.owners, this::transport, this.tracing, this.clock), this.ownership,
				this.clock);
	}

	/**
	 * Names the parts that the listener of peers uses.
	 *
	 * @param settings the settings in force
	 * @param reports the reports of peers
	 * @param forwarder matches replies
	 * @param requests serves forwarded requests
	 * @param ownership takes over shards of peers that went away
	 * @param clock tells the time
	 */
	record EntryParts(SettingsInForce settings, PeerReports reports, PeerRequestForwarder forwarder,
			PeerRequests requests, OwnershipDriver ownership, MonotonicClock clock) {
	}

}
