package io.lentilstream.control;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.random.RandomGenerator;

import io.netty.channel.EventLoopGroup;

import io.lentilstream.control.api.Configuration;
import io.lentilstream.control.api.JobAdmission;
import io.lentilstream.control.api.JobService;
import io.lentilstream.control.leadership.LeaderRecord;
import io.lentilstream.control.leadership.Leadership;
import io.lentilstream.control.limits.ClientLimits;
import io.lentilstream.control.peers.FollowerRegistry;
import io.lentilstream.control.peers.LeaderConnection;
import io.lentilstream.control.peers.PeerFrame;
import io.lentilstream.control.peers.PeerServer;
import io.lentilstream.control.shutdown.GracefulShutdown;
import io.lentilstream.control.store.PrefixWatcher;
import io.lentilstream.control.store.StoredItem;
import io.lentilstream.control.term.Term;
import io.lentilstream.control.term.WorkerPlatform;
import io.lentilstream.jobs.QueuePolicy;
import io.lentilstream.jobs.scheduling.SchedulerSettings;
import io.lentilstream.model.AvailabilityZoneId;

/**
 * A control process without its HTTP endpoints. It watches the configuration and the
 * leader, and schedules jobs while it is the leader itself.
 */
public final class ControlNode implements GracefulShutdown.Leader {

	/** Time without a reply from the store after which this process is not ready. */
	private static final long MAX_STORE_SILENCE_MILLIS = 2500;

	private static final long LEADER_RECHECK_MILLIS = 250;

	private final Term.Dependencies dependencies;

	private final EventLoopGroup group;

	private final NodeSettings settings;

	private final WorkerPlatform platform;

	private final Leadership leadership;

	private final LeaderConnection leaderConnection;

	private final FollowerRegistry followers;

	private final PeerServer peerServer;

	private final JobService service;

	private final PrefixWatcher configurationWatcher;

	private final JobAdmission admission;

	private final Function<StoredItem, Optional<Configuration>> decoder;

	private final EvacuatedZones evacuatedZones;

	private Configuration configuration;

	private Term term;

	private boolean draining;

	/** Whether there has been any other process that could lead. */
	private boolean peersSeen;

	private boolean configurationRead;

	/**
	 * Creates a process that has not started.
	 * @param dependencies the event loop, the store and the log
	 * @param group the group of the event loop
	 * @param random the source of nonces
	 * @param settings the settings
	 * @param platform lists VMs and sends them commands
	 * @param source where the configuration is stored and how to decode it
	 */
	public ControlNode(Term.Dependencies dependencies, EventLoopGroup group, RandomGenerator random,
			NodeSettings settings, WorkerPlatform platform, ConfigurationSource source) {
		this.dependencies = dependencies;
		this.group = group;
		this.settings = settings;
		this.platform = platform;
		this.decoder = source.decoder();
		this.evacuatedZones = new EvacuatedZones(source.evacuatedZone());
		this.leaderConnection = new LeaderConnection(dependencies.loop(), group, dependencies.log(),
				new FollowerRole());
		this.followers = new FollowerRegistry(dependencies.loop(), this::successorFound);
		Leadership.Candidate candidate = new Leadership.Candidate(settings.name(), settings.peerAddress(),
				settings.candidacyDelayMillis(), settings.leaseGraceMillis());
		this.leadership = new Leadership(dependencies.loop(), dependencies.store(), dependencies.log(), random,
				candidate, new TermStarter());
		this.admission = new JobAdmission(this.leaderConnection, () -> Optional.ofNullable(this.term),
				this.followers::count, settings.scheduling().maxAcceptedBytes());
		this.service = new JobService(dependencies, this.leaderConnection, () -> Optional.ofNullable(this.term),
				this::lastStoreReplyAt, this.admission);
		this.peerServer = new PeerServer(this.service::handleFrame, this.followers);
		this.configurationWatcher = new PrefixWatcher(dependencies.loop(), dependencies.store(), dependencies.log(),
				source.prefix(), new PrefixWatcher.WatchOptions(1000, 0, PrefixWatcher.CatchUp.CURRENT_ITEMS),
				new ConfigurationListener());
	}

	/**
	 * Starts watching the configuration, looking for the leader and listening for peers.
	 * @param limits the limits that all listeners of the process share
	 * @throws InterruptedException if interrupted while binding the address
	 */
	public void start(ClientLimits limits) throws InterruptedException {
		this.peerServer.listen(this.group, this.settings.peerAddress(), limits);
		this.group.execute(() -> FatalErrors.runChecked(this.configurationWatcher::start));
	}

	/**
	 * Reports not ready from now on. A leader continues until another process can lead,
	 * then hands over at once; it resigns at once if there has never been another.
	 * Requests are still answered.
	 * @param leadUntil when this process resigns permanently from leadership, on the
	 * steady clock in milliseconds
	 */
	@Override
	public void drain(long leadUntil) {
		this.draining = true;
		if (!this.peersSeen) {
			this.leadership.resign("shutdown", true);
			return;
		}
		this.leadership.leadOnlyUntil(leadUntil);
		this.leaderConnection.announceCandidacy();
		successorFound();
	}

	// Frames that have arrived already may tell that the successor drains as well.
	private void successorFound() {
		this.peersSeen = true;
		if (this.draining) {
			this.dependencies.loop().schedule(0, () -> {
				if (this.followers.hasSuccessor()) {
					this.leadership.handOver("shutdown");
				}
			});
		}
	}

	/**
	 * Returns whether another process may be elected as the leader without waiting for a
	 * lease of this one.
	 * @return {@code false} while the store has not confirmed the end of the lease
	 */
	@Override
	public boolean released() {
		return this.leadership.released();
	}

	/**
	 * Returns the service that handles the requests of clients.
	 * @return the service
	 */
	public JobService service() {
		return this.service;
	}

	/**
	 * Returns the latest configuration received from the store.
	 * @return the configuration, or empty before the first was received
	 */
	public Optional<Configuration> configuration() {
		return Optional.ofNullable(this.configuration);
	}

	/**
	 * Returns whether the store has replied recently, which means that the known
	 * configuration is up to date.
	 * @return {@code true} if it has
	 */
	public boolean storeReachable() {
		return this.dependencies.loop().now() - this.configurationWatcher.lastReplyAt() < MAX_STORE_SILENCE_MILLIS;
	}

	/**
	 * Returns whether this process should receive new connections.
	 * @return {@code true} if it is ready
	 */
	public boolean ready() {
		return !this.draining && this.configuration != null && storeReachable();
	}

	/**
	 * Returns when the store last replied.
	 * @return the time on the steady clock, in milliseconds
	 */
	public long lastStoreReplyAt() {
		return this.configurationWatcher.lastReplyAt();
	}

	private void configurationChanged(StoredItem item) {
		if (this.evacuatedZones.apply(item) && this.term != null) {
			this.term.updateEvacuations(this.evacuatedZones.zones());
		}
		if (!item.exists()) {
			return;
		}
		Optional<Configuration> decoded = this.decoder.apply(item);
		if (decoded.isEmpty()) {
			return;
		}
		Configuration latest = decoded.get();
		if (this.configuration != null && latest.version() <= this.configuration.version()) {
			return;
		}
		this.configuration = latest;
		this.dependencies.log()
			.append("configuration-in-force", latest.version(), "revision", item.revision(), "routes",
					latest.routes().size());
		if (this.term != null) {
			this.term.updatePolicies(policies());
		}
	}

	private Map<String, QueuePolicy> policies() {
		return configuration().map(Configuration::policies).orElse(Map.of());
	}

	/**
	 * Applies what operators have stored. This process runs for leadership only after it
	 * has read that once, so that it never leads without the zones under evacuation.
	 */
	private final class ConfigurationListener implements PrefixWatcher.Listener {

		@Override
		public void itemChanged(StoredItem item) {
			configurationChanged(item);
		}

		@Override
		public void batchDelivered() {
			if (!ControlNode.this.configurationRead) {
				ControlNode.this.configurationRead = true;
				ControlNode.this.leadership.checkLeader();
			}
		}

	}

	/**
	 * Looks for another leader when the known one may be lost, and tells it whether this
	 * process could lead.
	 */
	private final class FollowerRole implements LeaderConnection.Listener {

		@Override
		public void leaderDoubtful() {
			ControlNode node = ControlNode.this;
			node.dependencies.loop().schedule(LEADER_RECHECK_MILLIS, node.leadership::checkLeader);
		}

		@Override
		public void leaderLost() {
			ControlNode.this.leadership.leaderLost();
		}

		@Override
		public void leaderAnswered(PeerFrame pong) {
			ControlNode.this.leadership.leaderAnswered();
			ControlNode.this.admission.leaderAnswered(pong);
		}

		@Override
		public void leaderResigned() {
			ControlNode.this.leadership.succeed();
		}

		@Override
		public boolean canLead() {
			return !ControlNode.this.draining && storeReachable();
		}

	}

	/**
	 * Starts a term when this process wins the leadership and stops it when it is lost.
	 */
	private final class TermStarter implements Leadership.Listener {

		@Override
		public void leadershipWon(Leadership.LeaderTerm leaderTerm) {
			ControlNode node = ControlNode.this;
			node.leaderConnection.disconnect();
			Consumer<String> resign = (reason) -> node.leadership.resign(reason, false);
			node.term = new Term(node.dependencies, leaderTerm, node.platform, node.settings.scheduling(),
					node.settings.retentionMillis(), resign, node.leadership::leaseHeld,
					node.configurationWatcher::stableSince);
			node.term.updatePolicies(node.policies());
			node.term.updateEvacuations(node.evacuatedZones.zones());
			node.term.start();
		}

		@Override
		public void leadershipEnding() {
			if (ControlNode.this.term != null) {
				ControlNode.this.term.holdOnly();
			}
		}

		@Override
		public void leadershipLost() {
			if (ControlNode.this.term != null) {
				ControlNode.this.term.stop();
				ControlNode.this.term = null;
			}
			if (ControlNode.this.draining && !ControlNode.this.followers.notifySuccessor()) {
				// The successor has begun to drain meanwhile.
				ControlNode.this.leadership.succeed();
			}
		}

		@Override
		public void leaderFound(LeaderRecord leader) {
			ControlNode.this.peersSeen |= !leader.node().equals(ControlNode.this.settings.name());
			ControlNode.this.leaderConnection.connect(leader.address());
		}

	}

	/**
	 * The settings of a control process.
	 *
	 * @param node the name of the process
	 * @param peerAddress the address on which it accepts connections from its peers
	 * @param candidacyDelayMillis how long there must be no leader before this process
	 * runs for leadership, in milliseconds; lets processes with more CPU win
	 * @param leaseGraceMillis how long a leader continues after its lease expired without
	 * renewal, in milliseconds
	 * @param retentionMillis how long ended jobs are kept, in milliseconds
	 * @param scheduling the platform's limits for commands to VMs
	 */
	public record NodeSettings(String name, InetSocketAddress peerAddress, long candidacyDelayMillis,
			long leaseGraceMillis, long retentionMillis, SchedulerSettings scheduling) {
	}

	/**
	 * Locates and decodes the configuration.
	 *
	 * @param prefix the prefix of its key in the store
	 * @param decoder decodes an item, or returns empty if it is not a configuration
	 * @param evacuatedZone returns the availability zone that an item evacuates, or empty
	 * if it is another item
	 */
	public record ConfigurationSource(String prefix, Function<StoredItem, Optional<Configuration>> decoder,
			Function<StoredItem, Optional<AvailabilityZoneId>> evacuatedZone) {
	}

}
