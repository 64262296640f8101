package io.lentilstream.control;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.random.RandomGenerator;

import io.netty.channel.EventLoopGroup;

import io.lentilstream.control.api.Configuration;
import io.lentilstream.control.api.JobService;
import io.lentilstream.control.leadership.LeaderRecord;
import io.lentilstream.control.leadership.Leadership;
import io.lentilstream.control.peers.LeaderConnection;
import io.lentilstream.control.peers.PeerServer;
import io.lentilstream.control.store.PrefixWatcher;
import io.lentilstream.control.store.StoredItem;
import io.lentilstream.control.term.Term;
import io.lentilstream.control.term.WorkerPlatform;
import io.lentilstream.jobs.QueuePolicy;
import io.lentilstream.jobs.scheduling.SchedulerSettings;

/**
 * Is a control process without its front: it follows the configuration and the leader,
 * and drives the jobs while it leads.
 */
public final class ControlNode {

	/** Time without an answer of the store after which this process is not ready. */
	private static final long MAX_STORE_SILENCE_MILLIS = 2500;

	private static final long LEADER_RECHECK_MILLIS = 250;

	private final Term.Dependencies dependencies;

	private final EventLoopGroup group;

	private final NodeSettings settings;

	private final WorkerPlatform platform;

	private final Leadership leadership;

	private final LeaderConnection leaderConnection;

	private final PeerServer peerServer;

	private final JobService service;

	private final PrefixWatcher configurationWatcher;

	private final Function<StoredItem, Optional<Configuration>> decoder;

	private Configuration configuration;

	private Term term;

	private boolean draining;

	/**
	 * Creates a process that has not started.
	 * @param dependencies what the parts of the process share
	 * @param group the group of the event loop
	 * @param random the source of nonces
	 * @param settings the settings
	 * @param platform follows VMs and gives them orders
	 * @param source where the configuration is
	 */
	public ControlNode(Term.Dependencies dependencies, EventLoopGroup group, RandomGenerator random,
			NodeSettings settings, WorkerPlatform platform, ConfigurationSource source) {
		this.dependencies = dependencies;
		this.group = group;
		this.settings = settings;
		this.platform = platform;
		this.decoder = source.decoder();
		this.leaderConnection = new LeaderConnection(dependencies.loop(), group, dependencies.log(),
				this::recheckLeader);
		Leadership.Candidate candidate = new Leadership.Candidate(settings.name(), settings.peerAddress(),
				settings.candidacyDelayMillis(), settings.leaseGraceMillis());
		this.leadership = new Leadership(dependencies.loop(), dependencies.store(), dependencies.log(), random,
				candidate, new TermStarter());
		this.service = new JobService(dependencies, this.leaderConnection, () -> Optional.ofNullable(this.term),
				this::lastStoreReplyAt);
		this.peerServer = new PeerServer(this.service::handleFrame);
		this.configurationWatcher = new PrefixWatcher(dependencies.loop(), dependencies.store(), dependencies.log(),
				source.prefix(), new PrefixWatcher.WatchTiming(1000, 0), this::configurationChanged);
	}

	/**
	 * Starts to follow and to listen for peers.
	 * @throws InterruptedException if the thread is interrupted meanwhile
	 */
	public void start() throws InterruptedException {
		this.peerServer.listen(this.group, this.settings.peerAddress());
		this.group.execute(() -> {
			this.configurationWatcher.start();
			this.leadership.checkLeader();
		});
	}

	/**
	 * Hands the leadership over and reports not to be ready. Requests are still answered.
	 */
	public void drain() {
		this.draining = true;
		this.leadership.resign("shutdown", true);
	}

	/**
	 * Returns what callers may ask.
	 * @return the service
	 */
	public JobService service() {
		return this.service;
	}

	/**
	 * Returns the newest configuration that is known.
	 * @return the configuration, or empty before the first one
	 */
	public Optional<Configuration> configuration() {
		return Optional.ofNullable(this.configuration);
	}

	/**
	 * Tells whether the store answered lately, so that the configuration is the newest.
	 * @return {@code true} if it did
	 */
	public boolean storeReachable() {
		return this.dependencies.loop().now() - this.configurationWatcher.lastReplyAt() < MAX_STORE_SILENCE_MILLIS;
	}

	/**
	 * Tells whether new connections should come to this process.
	 * @return {@code true} if it can serve
	 */
	public boolean ready() {
		return !this.draining && this.configuration != null && storeReachable();
	}

	/**
	 * Returns when the store last answered.
	 * @return the time in milliseconds
	 */
	public long lastStoreReplyAt() {
		return this.configurationWatcher.lastReplyAt();
	}

	private void configurationChanged(StoredItem item) {
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

	private void recheckLeader() {
		this.dependencies.loop().schedule(LEADER_RECHECK_MILLIS, this.leadership::checkLeader);
	}

	/**
	 * Starts and stops terms with the leadership.
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
			node.term.start();
		}

		@Override
		public void leadershipLost() {
			if (ControlNode.this.term != null) {
				ControlNode.this.term.stop();
				ControlNode.this.term = null;
			}
		}

		@Override
		public void leaderFound(LeaderRecord leader) {
			ControlNode.this.leaderConnection.connect(leader.address());
		}

	}

	/**
	 * Settings of a process.
	 *
	 * @param node the name of the process
	 * @param peerAddress where it takes connections of its peers
	 * @param candidacyDelayMillis how long it lets stronger processes lead first, in
	 * milliseconds
	 * @param leaseGraceMillis how long a leader goes on without a renewed lease, in
	 * milliseconds
	 * @param retentionMillis how long jobs are kept after their end, in milliseconds
	 * @param scheduling the platform's bounds for orders
	 */
	public record NodeSettings(String name, InetSocketAddress peerAddress, long candidacyDelayMillis,
			long leaseGraceMillis, long retentionMillis, SchedulerSettings scheduling) {
	}

	/**
	 * Says where the configuration is.
	 *
	 * @param prefix the prefix of its key in the store
	 * @param decoder decodes an item, or returns empty if it is not a configuration
	 */
	public record ConfigurationSource(String prefix, Function<StoredItem, Optional<Configuration>> decoder) {
	}

}
