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
import io.lentilstream.control.peers.LeaderLink;
import io.lentilstream.control.peers.PeerListener;
import io.lentilstream.control.store.PrefixFollower;
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
	private static final long READY_MILLIS = 2500;

	private static final long LOOK_AGAIN_MILLIS = 250;

	private final Term.Tools tools;

	private final EventLoopGroup group;

	private final NodeSettings settings;

	private final WorkerPlatform platform;

	private final Leadership leadership;

	private final LeaderLink link;

	private final PeerListener peers;

	private final JobService service;

	private final PrefixFollower configurationFollower;

	private final Function<StoredItem, Optional<Configuration>> decoder;

	private Configuration configuration;

	private Term term;

	private boolean draining;

	/**
	 * Creates a process that has not started.
	 * @param tools what the parts of the process share
	 * @param group the group of the event loop
	 * @param random the source of nonces
	 * @param settings the settings
	 * @param platform follows VMs and gives them orders
	 * @param source where the configuration is
	 */
	public ControlNode(Term.Tools tools, EventLoopGroup group, RandomGenerator random, NodeSettings settings,
			WorkerPlatform platform, ConfigurationSource source) {
		this.tools = tools;
		this.group = group;
		this.settings = settings;
		this.platform = platform;
		this.decoder = source.decoder();
		this.link = new LeaderLink(tools.loop(), group, tools.log(), this::lookAgain);
		Leadership.Candidate candidate = new Leadership.Candidate(settings.node(), settings.peerAddress(),
				settings.hesitationMillis(), settings.graceMillis());
		this.leadership = new Leadership(tools.loop(), tools.store(), tools.log(), random, candidate,
				new TermStarter());
		this.service = new JobService(tools, this.link, () -> Optional.ofNullable(this.term), this::storeReachedAt);
		this.peers = new PeerListener(this.service::answer);
		this.configurationFollower = new PrefixFollower(tools.loop(), tools.store(), tools.log(), source.prefix(),
				new PrefixFollower.Pace(1000, 0), this::configurationChanged);
	}

	/**
	 * Starts to follow and to listen for peers.
	 * @throws InterruptedException if the thread is interrupted meanwhile
	 */
	public void start() throws InterruptedException {
		this.peers.listen(this.group, this.settings.peerAddress());
		this.group.execute(() -> {
			this.configurationFollower.start();
			this.leadership.look();
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
	public boolean current() {
		return this.tools.loop().now() - this.configurationFollower.reachedAt() < READY_MILLIS;
	}

	/**
	 * Tells whether new connections should come to this process.
	 * @return {@code true} if it can serve
	 */
	public boolean ready() {
		return !this.draining && this.configuration != null && current();
	}

	/**
	 * Returns when the store last answered.
	 * @return the time in milliseconds
	 */
	public long storeReachedAt() {
		return this.configurationFollower.reachedAt();
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
		this.tools.log()
			.append("configuration-in-force", latest.version(), "revision", item.revision(), "routes",
					latest.routes().size());
		if (this.term != null) {
			this.term.policies(policies());
		}
	}

	private Map<String, QueuePolicy> policies() {
		return configuration().map(Configuration::policies).orElse(Map.of());
	}

	private void lookAgain() {
		this.tools.loop().after(LOOK_AGAIN_MILLIS, this.leadership::look);
	}

	/**
	 * Starts and stops terms with the leadership.
	 */
	private final class TermStarter implements Leadership.Listener {

		@Override
		public void won(Leadership.Mandate mandate) {
			ControlNode node = ControlNode.this;
			node.link.disconnect();
			Consumer<String> resign = (reason) -> node.leadership.resign(reason, false);
			node.term = new Term(node.tools, mandate, node.platform, node.settings.scheduling(),
					node.settings.keepMillis(), resign, node.leadership::leaseHeld,
					node.configurationFollower::steadySince);
			node.term.policies(node.policies());
			node.term.start();
		}

		@Override
		public void lost() {
			if (ControlNode.this.term != null) {
				ControlNode.this.term.stop();
				ControlNode.this.term = null;
			}
		}

		@Override
		public void following(LeaderRecord leader) {
			ControlNode.this.link.connect(leader.address());
		}

	}

	/**
	 * Settings of a process.
	 *
	 * @param node the name of the process
	 * @param peerAddress where it takes connections of its peers
	 * @param hesitationMillis how long it lets stronger processes lead first, in
	 * milliseconds
	 * @param graceMillis how long a leader goes on without a renewed lease, in
	 * milliseconds
	 * @param keepMillis how long jobs are kept after their end, in milliseconds
	 * @param scheduling the platform's bounds for orders
	 */
	public record NodeSettings(String node, InetSocketAddress peerAddress, long hesitationMillis, long graceMillis,
			long keepMillis, SchedulerSettings scheduling) {
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
