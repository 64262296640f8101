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
import io.lentilstream.entry.calls.JobCallHandler;
import io.lentilstream.entry.calls.OwnerCall;
import io.lentilstream.entry.calls.OwnerCallHandler;
import io.lentilstream.entry.calls.OwnerRouter;
import io.lentilstream.entry.calls.RecordCallHandler;
import io.lentilstream.entry.directory.EndpointPool;
import io.lentilstream.entry.directory.SlotCounts;
import io.lentilstream.entry.directory.VmDirectoryPoller;
import io.lentilstream.entry.http.AdministrationAuthenticator;
import io.lentilstream.entry.http.EntryServer;
import io.lentilstream.entry.http.OperationsRoutes;
import io.lentilstream.entry.http.OwnerCallRoutes;
import io.lentilstream.entry.http.ServiceRoutes;
import io.lentilstream.entry.http.SettingsRoutes;
import io.lentilstream.entry.http.StatusRoutes;
import io.lentilstream.entry.peers.PeerDriver;
import io.lentilstream.entry.peers.PeerRequestForwarder;
import io.lentilstream.entry.records.RequestShardDriver;
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
 * The entry daemon of one VM. It listens for callers, operators and peers, and connects
 * the decision libraries, which do no I/O, to I/O, timers and threads.
 */
public final class EntryDaemon implements AutoCloseable {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final String PREFIX = "entry: ";

	private static final int PEER_THREADS = 1;

	private static final long TICK_INTERVAL_MILLIS = 10;

	private static final long PEER_REPORT_INTERVAL_MILLIS = 100;

	private static final long SHARD_COUNT_RETRY_MILLIS = 500;

	private final EntrySettings settings;

	private final EntryOptions options;

	private final MonotonicClock clock;

	private final EntryThreads threads;

	private final PlatformClients platform;

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

	private final OwnerRouter ownerRouter;

	private final OwnedShards shards;

	private final OwnershipDriver ownership;

	private final VmDirectoryPoller directory;

	private final EntryServer server;

	private final PeerTransport transport;

	private final Object settingsLock = new Object();

	private final GracefulShutdown shutdown;

	private volatile List<VmEntry> listedVms = List.of();

	/**
	 * Creates a daemon. It opens no ports or connections before {@link #start}.
	 * @param settings the process settings
	 * @param options the clock, randomness and intervals
	 */
	public EntryDaemon(EntrySettings settings, EntryOptions options) {
		this.settings = settings;
		this.options = options;
		this.clock = options.clock();
		this.threads = new EntryThreads(settings.vm().value(), options.fatalErrorHandler());
		this.platform = new PlatformClients(settings, options.wallClockMillis());
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
		this.scheduler = new RequestScheduler(RequestDefaults.defaults(), options::newGenerator);
		this.requests = new RequestDriver(this.scheduler, this.platform.endpoints(), this.forwarder, this.clock);
		this.endpoints = new EndpointPool(this.shardMap, this.platform.endpoints()::inFlight,
				(owned) -> this.requests.perform(this.scheduler.updateEndpoints(this.clock.now(), owned)));
		this.shards = new OwnedShards(this.shardMap, this.endpoints, shardFactory(ids), this::updateTaskShards);
		this.ownership = newOwnership();
		this.ownerRouter = new OwnerRouter(this::shardOf, this::localHandler, this::remoteOwner, this.forwarder, ids);
		this.peers = new PeerDriver(this.view, this.replica, this.platform.store(), this.clock, this::localState,
				new EntryPeerListener(this, options.fatalErrorHandler()));
		this.transport = new PeerTransport(self,
				new PeerKey(new String(settings.peerKey().reveal(), java.nio.charset.StandardCharsets.UTF_8)),
				options.random(), this.peers, PEER_THREADS, settings.limits().frameBytes());
		this.directory = new VmDirectoryPoller(this.platform.directory(), this::regionZones, this::applyVmList,
				options.fatalErrorHandler());
		this.shutdown = new GracefulShutdown(new GracefulShutdown.Steps() {

			@Override
			public void announceShutdown() {
				EntryDaemon.this.peers.leave();
			}

			@Override
			public void refuseNewRequests() {
				EntryDaemon.this.requests.perform(EntryDaemon.this.scheduler.drain(EntryDaemon.this.clock.now()));
			}

			@Override
			public int requestsInFlight() {
				return EntryDaemon.this.requests.pendingCount() + EntryDaemon.this.ownerRouter.inFlight();
			}

			@Override
			public CompletableFuture<Void> releaseShards() {
				return EntryDaemon.this.ownership.shutdown();
			}

		}, this.clock, this.threads.timers(), options.lameDuckMillis());
		this.server = newServer(ids);
	}

	private EntryShardFactory shardFactory(RequestIds ids) {
		EntrySettings.Shards shardSettings = this.settings.shards();
		return new EntryShardFactory(
				() -> EntrySettingsMapping.logs(this.settings,
						this.settingsInForce.zoneCount() * shardSettings.perZone()
								+ this.settingsInForce.regionCount() * shardSettings.requestShardsPerRegion()),
				EntrySettingsMapping.tasks(this.settings), this.platform.workers(),
				new RequestShardDriver.Environment(this.platform.store(), this.platform.endpoints(), this.requests,
						this.settingsInForce, ids, this.clock, this.threads.timers()),
				this.threads);
	}

	private OwnershipDriver newOwnership() {
		EntrySettings.Shards shardSettings = this.settings.shards();
		ShardOwnership shardOwnership = new ShardOwnership(EntrySettingsMapping.ownership(this.settings),
				this.settings.vm(),
				List.of(new ShardScope(this.settings.zone().value(), shardSettings.perZone()),
						new ShardScope(this.settings.region(), shardSettings.requestShardsPerRegion())),
				this.clock.now());
		return new OwnershipDriver(shardOwnership, this.platform.store(), this.shards, this.clock,
				this.threads.newSerialExecutor(), this.threads.timers());
	}

	private EntryServer newServer(RequestIds ids) {
		EntryServer http = new EntryServer(this.settings);
		AdministrationAuthenticator authenticator = new AdministrationAuthenticator(new AccessPolicy(new AccessKey(
				new String(this.settings.administratorKey().reveal(), java.nio.charset.StandardCharsets.UTF_8))),
				this.settingsInForce::valuesOf);
		http.install(new OperationsRoutes(this::isReady, this.metrics)::install);
		http.install(
				new ServiceRoutes(this.requests, this.services, ids, this.tracing, this.metrics, this.clock)::install);
		http.install(new OwnerCallRoutes(this.ownerRouter, this.settingsInForce)::install);
		http.install(new SettingsRoutes(new SettingsManager(this.platform.store()), authenticator,
				this.replica::inForce, this.options.random(), this.options.wallClockMillis())::install);
		http.install(new StatusRoutes(authenticator, this.shards, this.settingsInForce, this.view::peers,
				() -> this.scheduler.snapshot(this.clock.now()), this::drain)::install);
		return http;
	}

	/**
	 * Opens the HTTP and peer ports, connects to the peers and begins to acquire shards
	 * once the shard counts are known to match those in the store.
	 */
	public void start() {
		this.transport
			.listen(new InetSocketAddress(this.settings.peerAddress().host(), this.settings.peerAddress().port()));
		this.peers.start(this.transport, this.threads.timers());
		this.peers.perform(this.view.addConfiguredPeers(this.clock.now(), configuredPeers()));
		this.directory.start(this.threads.timers(), this.settings.platform().listInterval().toMillis());
		scheduleEvery(TICK_INTERVAL_MILLIS, this::tickRequests);
		scheduleEvery(PEER_REPORT_INTERVAL_MILLIS, this::updatePeerReports);
		registerGauges();
		checkShardCounts();
		this.server.start();
		logger.atInfo()
			.log(PREFIX + "VM %s in zone %s is listening on %s.", this.settings.vm(), this.settings.zone(),
					this.settings.httpAddress());
	}

	private List<PeerAddress> configuredPeers() {
		return this.settings.peers()
			.stream()
			.filter((peer) -> !peer.vm().equals(this.settings.vm()))
			.map((peer) -> new PeerAddress(peer.vm(), peer.zone(), peer.address().toString()))
			.toList();
	}

	private void scheduleEvery(long millis, Runnable task) {
		this.threads.timers().scheduleAtFixedRate(() -> {
			try {
				task.run();
			}
			catch (RuntimeException ex) {
				this.options.fatalErrorHandler().accept(ex);
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
		this.shards.dropRetainedEndpoints(
				(shard) -> this.ownership.ownerOf(shard).filter((vm) -> !vm.equals(this.settings.vm())).isPresent());
	}

	private void checkShardCounts() {
		ShardCountCheck check = new ShardCountCheck(this.platform.store());
		EntrySettings.Shards shardSettings = this.settings.shards();
		CompletableFuture<Optional<Boolean>> zone = check.recordOrCompare(this.settings.zone().value(),
				shardSettings.perZone());
		CompletableFuture<Optional<Boolean>> region = check.recordOrCompare(this.settings.region(),
				shardSettings.requestShardsPerRegion());
		zone.thenAcceptBoth(region, (zoneMatches, regionMatches) -> {
			if (zoneMatches.isEmpty() || regionMatches.isEmpty()) {
				this.threads.timers().schedule(this::checkShardCounts, SHARD_COUNT_RETRY_MILLIS, TimeUnit.MILLISECONDS);
			}
			else if (zoneMatches.get() && regionMatches.get()) {
				this.ownership.tick();
			}
			else {
				logger.atSevere()
					.log(PREFIX
							+ "the shard counts in the settings differ from those in the store; this VM acquires no shards.");
			}
		});
	}

	private void registerGauges() {
		this.metrics.registerGauge("requests.pending", this.requests::pendingCount);
		this.metrics.registerGauge("endpoints.owned", this.endpoints::ownedCount);
		this.metrics.registerGauge("shards.worker", () -> this.shards.taskShards().size());
		this.metrics.registerGauge("shards.request", () -> this.shards.requestShards().size());
		this.metrics.registerGauge("store.reads", this.platform.meter()::reads);
		this.metrics.registerGauge("store.writes", this.platform.meter()::writes);
		this.metrics.registerGauge("store.watches", this.platform.meter()::watches);
	}

	private List<AvailabilityZoneId> regionZones() {
		return this.settingsInForce.zonesOf(this.settings.region(), this.settings.zone());
	}

	private void applyVmList(AvailabilityZoneId zone, List<VmEntry> entries) {
		this.platform.updateAddresses(entries);
		this.peers.perform(this.view.applyPlatformList(this.clock.now(), zone, entries));
		if (zone.equals(this.settings.zone())) {
			this.listedVms = entries;
			this.endpoints.updateList(entries);
			updateTaskShards();
			this.ownership.setLeavingVms(entries.stream()
				.filter((entry) -> entry.role() == VmEntry.Role.ENTRY && entry.status() == VmEntry.Status.LEAVING)
				.map(VmEntry::vm)
				.collect(Collectors.toSet()));
		}
		if (this.slotCounts.update(zone, entries)) {
			applySettings();
		}
	}

	private void updateTaskShards() {
		synchronized (this.settingsLock) {
			updateTaskShardsLocked();
		}
	}

	private void updateTaskShardsLocked() {
		List<TeamQuota> quotas = this.settingsInForce
			.quotas(this.settingsInForce.zoneCount() * this.settings.shards().perZone());
		Map<ShardId, List<WorkerDescription>> workersByShard = this.listedVms.stream()
			.filter((entry) -> entry.role() == VmEntry.Role.WORKER)
			.collect(
					Collectors
						.groupingBy((entry) -> this.shardMap.ofWorker(entry.vm()),
								Collectors.mapping((entry) -> new WorkerDescription(entry.vm(), entry.rack(),
										entry.capacity(), entry.status() == VmEntry.Status.LEAVING),
										Collectors.toList())));
		this.shards.taskShards().forEach((shard, driver) -> {
			driver.updateQuotas(quotas);
			driver.updateWorkers(workersByShard.getOrDefault(shard, List.of()));
		});
	}

	/**
	 * Applies the settings in force to all components. The lock ensures that a thread
	 * that read the settings before a change does not overwrite the result of a thread
	 * that read them after it.
	 */
	void applySettings() {
		synchronized (this.settingsLock) {
			applySettingsLocked();
		}
	}

	private void applySettingsLocked() {
		var activeServices = this.settingsInForce.services(this.slotCounts::slotsOf);
		this.services.replace(activeServices);
		this.requests.perform(this.scheduler.updatePolicies(this.clock.now(),
				activeServices.values().stream().map(ServiceDirectory.Entry::policy).toList()));
		updateTaskShards();
	}

	private LocalState localState() {
		Map<ServiceRef, Integer> freeSlots = new TreeMap<>();
		for (PoolSnapshot service : this.scheduler.snapshot(this.clock.now())) {
			freeSlots.put(new ServiceRef(service.service().team(), service.service().service()), service.freeSlots());
		}
		return new LocalState(this.replica.isReady(), this.replica.digest(), freeSlots, this.ownership.ownedShards());
	}

	private ShardId shardOf(OwnerCall call) {
		if (!call.operation().isJob()) {
			return this.shardMap.ofKey(call.team(), call.key());
		}
		JobId job = new JobId(call.key().value());
		List<AvailabilityZoneId> zones = regionZones();
		AvailabilityZoneId homeZone = zones.get(ShardMap.index(call.key().value() + "/" + call.team(), zones.size()));
		return this.shardMap.ofJob(homeZone, call.team(), job);
	}

	private Optional<OwnerCallHandler> localHandler(ShardId shard) {
		TaskShardDriver taskShard = this.shards.taskShards().get(shard);
		if (taskShard != null) {
			return Optional.of(new JobCallHandler(taskShard, this.settingsInForce));
		}
		RequestShardDriver requestShard = this.shards.requestShards().get(shard);
		return Optional.ofNullable(requestShard).map((driver) -> new RecordCallHandler(driver, this.settingsInForce));
	}

	private Optional<VmId> remoteOwner(ShardId shard) {
		return this.view.ownerOf(shard)
			.or(() -> this.ownership.ownerOf(shard))
			.filter((vm) -> !vm.equals(this.settings.vm()));
	}

	/**
	 * Returns whether the load balancer may route requests to this VM.
	 * @return {@code true} from the time the settings are complete until a graceful
	 * shutdown is initiated
	 */
	public boolean isReady() {
		return this.replica.isReady() && !this.shutdown.isInitiated();
	}

	/**
	 * Initiates the graceful shutdown. Further calls have no effect.
	 * @return a future that completes when the process may exit
	 */
	public CompletableFuture<Void> drain() {
		return this.shutdown.initiate();
	}

	/**
	 * Returns the completion of the graceful shutdown, whether it was initiated by
	 * {@link #drain} or by an operator.
	 * @return a future that completes when the process may exit
	 */
	public CompletableFuture<Void> drained() {
		return this.shutdown.completion();
	}

	/**
	 * Stops the daemon immediately, with the same effect as a failure of its VM: shards
	 * are not released and peers are not notified.
	 */
	@Override
	public void close() {
		this.directory.close();
		this.peers.close();
		this.ownership.close();
		this.shards.closeDrivers();
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
	 * Returns the revision at which a settings document is in force on this VM.
	 * @param document the path of the document
	 * @return the revision, or 0 if the document is not in force
	 */
	public long revisionInForce(String document) {
		return this.replica.revisionOf(new StoreKey(document)).value();
	}

	PeerTransport transport() {
		return this.transport;
	}

	PeerListenerComponents peerListenerComponents() {
		return new PeerListenerComponents(this.settingsInForce, this.peerReports, this.forwarder,
				new ForwardedRequestHandler(this.requests, this.ownerRouter, this::transport, this.tracing, this.clock),
				this.ownership, this.clock);
	}

	/**
	 * The components that {@link EntryPeerListener} passes events to.
	 *
	 * @param settings the settings in force
	 * @param reports the load reports of peers
	 * @param forwarder matches replies to forwarded requests
	 * @param requests serves forwarded requests
	 * @param ownership acquires the shards of peers that are gone
	 * @param clock the monotonic clock
	 */
	record PeerListenerComponents(SettingsInForce settings, PeerReports reports, PeerRequestForwarder forwarder,
			ForwardedRequestHandler requests, OwnershipDriver ownership, MonotonicClock clock) {
	}

}
