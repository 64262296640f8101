package io.lentilstream.control;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.ToLongFunction;

import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import io.lentilstream.control.limits.ClientLimits;
import io.lentilstream.control.store.MemoryStore;
import io.lentilstream.control.store.StoredItem;
import io.lentilstream.control.term.Term;
import io.lentilstream.control.term.WorkerPlatform;
import io.lentilstream.jobs.CommandResult;
import io.lentilstream.jobs.TaskName;
import io.lentilstream.jobs.WorkerId;
import io.lentilstream.jobs.WorkerListing;
import io.lentilstream.jobs.scheduling.SchedulerSettings;

import static org.assertj.core.api.Assertions.assertThat;

class ControlNodeTests {

	private static final long EXIT_MILLIS = 60_000;

	private final NioEventLoopGroup group = new NioEventLoopGroup(1);

	private final EventLoop loop = new NettyEventLoop(this.group);

	private final MemoryStore store = new MemoryStore(this.loop);

	private final List<String> log = new CopyOnWriteArrayList<>();

	@AfterEach
	void close() {
		this.group.shutdownGracefully();
	}

	@Test
	void aLeaderThatDrainsHandsOverToAProcessThatIsReady() throws Exception {
		ControlNode first = start("a");
		awaitLine("term-begun a");
		start("b");
		awaitLine("leader-connected b");
		drain(first);
		awaitLine("term-begun b");
		assertThat(released(first)).isTrue();
		assertThat(this.log).contains("leader-resigned b");
	}

	@Test
	void theLastLeaderLeadsWhileAllDrainUntilAnotherProcessHasStarted() throws Exception {
		ControlNode first = start("a");
		awaitLine("term-begun a");
		ControlNode second = start("b");
		awaitLine("leader-connected b");
		drain(second);
		deliverFrames();
		drain(first);
		TimeUnit.MILLISECONDS.sleep(1500);
		assertThat(released(first)).isFalse();
		assertThat(this.log).doesNotContain("leadership-releasing a");
		start("c");
		awaitLine("term-begun c");
		assertThat(released(first)).isTrue();
		assertThat(this.log).doesNotContain("leadership-won b");
	}

	@Test
	void oneOfTwoProcessesLeadsAgainIfTheSuccessorDrainsDuringTheHandOver() throws Exception {
		ControlNode first = start("a");
		awaitLine("term-begun a");
		ControlNode second = start("b");
		awaitLine("leader-connected b");
		this.log.remove("term-begun a");
		drain(first);
		awaitLine("leadership-releasing a");
		drain(second);
		for (int i = 0; i < 500 && !this.log.contains("term-begun a") && !this.log.contains("term-begun b"); i++) {
			TimeUnit.MILLISECONDS.sleep(20);
		}
		assertThat(this.log).containsAnyOf("term-begun a", "term-begun b");
	}

	@Test
	void aLeaderWithoutPeersResignsAtOnce() throws Exception {
		ControlNode only = start("a");
		awaitLine("term-begun a");
		drain(only);
		awaitLine("leadership-lost a");
		assertThat(released(only)).isTrue();
	}

	private ControlNode start(String name) throws Exception {
		Term.Dependencies dependencies = new Term.Dependencies(this.loop, this.store,
				(decision, subject, inputs) -> this.log.add(decision + " " + name));
		ControlNode node = new ControlNode(dependencies, this.group, new Random(name.hashCode()),
				new ControlNode.NodeSettings(name, freeAddress(), 0, 2000, 60_000,
						new SchedulerSettings(6000, 3, 4000, 4000, 3000, Set.of())),
				new NoVms(),
				new ControlNode.ConfigurationSource("op/", (item) -> Optional.empty(), (item) -> Optional.empty()));
		node.start(ClientLimits.withDefaults());
		return node;
	}

	// Frames that were sent are read within a few turns of the loop.
	private void deliverFrames() throws Exception {
		for (int i = 0; i < 20; i++) {
			onLoop(() -> null);
			TimeUnit.MILLISECONDS.sleep(10);
		}
	}

	private void drain(ControlNode node) throws Exception {
		onLoop(() -> {
			node.drain(this.loop.now() + EXIT_MILLIS);
			return null;
		});
	}

	private boolean released(ControlNode node) throws Exception {
		return onLoop(node::released);
	}

	private <T> T onLoop(Callable<T> call) throws Exception {
		return this.group.submit(call).get();
	}

	private void awaitLine(String line) throws InterruptedException {
		for (int i = 0; i < 500 && !this.log.contains(line); i++) {
			TimeUnit.MILLISECONDS.sleep(20);
		}
		assertThat(this.log).contains(line);
	}

	private static InetSocketAddress freeAddress() throws Exception {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
		}
	}

	/**
	 * A platform that lists no VM.
	 */
	private static final class NoVms implements WorkerPlatform {

		@Override
		public CommandClient commandClient(ToLongFunction<WorkerId> fencingTokens) {
			return new NoCommands();
		}

		@Override
		public String workerListPrefix() {
			return "servers/";
		}

		@Override
		public Optional<WorkerListing> decode(StoredItem item) {
			return Optional.empty();
		}

		@Override
		public String workerIdOf(String key) {
			return key;
		}

	}

	/**
	 * Commands that are not expected, since there is no VM.
	 */
	private static final class NoCommands implements WorkerPlatform.CommandClient {

		@Override
		public void start(WorkerListing worker, StartCommand command, Consumer<CommandResult> callback) {
			throw new IllegalStateException("no VM is listed");
		}

		@Override
		public void stop(WorkerListing worker, TaskName task, int run, Consumer<CommandResult> callback) {
			throw new IllegalStateException("no VM is listed");
		}

		@Override
		public void setSpeed(WorkerListing worker, TaskName task, int run, int percent,
				Consumer<CommandResult> callback) {
			throw new IllegalStateException("no VM is listed");
		}

		@Override
		public void requestReport(WorkerListing worker, ReportRequest request, Consumer<ReportResult> callback) {
			throw new IllegalStateException("no VM is listed");
		}

		@Override
		public void close() {
			// There are no connections.
		}

	}

}
