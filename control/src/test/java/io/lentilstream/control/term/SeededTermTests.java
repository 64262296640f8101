package io.lentilstream.control.term;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;

import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import io.lentilstream.control.ManualEventLoop;
import io.lentilstream.control.api.JobAdmission;
import io.lentilstream.control.api.JobService;
import io.lentilstream.control.leadership.LeaderRecord;
import io.lentilstream.control.leadership.Leadership;
import io.lentilstream.control.logging.DecisionMetrics;
import io.lentilstream.control.logging.JsonLineLog;
import io.lentilstream.control.peers.LeaderConnection;
import io.lentilstream.control.peers.PeerFrame;
import io.lentilstream.control.store.Commit;
import io.lentilstream.control.store.MemoryStore;
import io.lentilstream.jobs.JobSubmission;
import io.lentilstream.jobs.QueuePolicy;
import io.lentilstream.jobs.StepSpec;
import io.lentilstream.jobs.codec.SubmissionCodec;
import io.lentilstream.jobs.scheduling.SchedulerFeature;
import io.lentilstream.jobs.scheduling.SchedulerSettings;
import io.lentilstream.model.AvailabilityZoneId;
import io.lentilstream.model.JobId;
import io.lentilstream.model.Resources;
import io.lentilstream.model.ServiceName;

import static org.assertj.core.api.Assertions.assertThatCode;

/**
 * Mixes changes of the configuration, requests at all processes, changes of the leader,
 * outages of the store and lost VMs. Any exception, and any request that is answered
 * twice, would end a process.
 */
class SeededTermTests {

	private static final int NODES = 3;

	private static final int VMS = 4;

	private static final int QUEUES = 4;

	private static final int JOBS = 30;

	private static final int ROUNDS = 150;

	private static final int[] ROUND_MILLIS = { 0, 1, 5, 30, 120, 400, 1200 };

	private static final MemoryStore.Mode[] MODES = MemoryStore.Mode.values();

	private static final PeerFrame.Kind[] KINDS = PeerFrame.Kind.values();

	private static final long[] ODD_NUMBERS = { 0, -1, 1, Integer.MAX_VALUE, Integer.MIN_VALUE, Long.MAX_VALUE,
			Long.MIN_VALUE };

	private static final double[] ODD_FACTORS = { 0, -1, Double.MAX_VALUE, Double.MIN_VALUE, 1e18 };

	private static final NioEventLoopGroup GROUP = new NioEventLoopGroup(1);

	@AfterAll
	static void close() {
		GROUP.shutdownGracefully();
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16 })
	void noMixOfRequestsAndFaultsThrows(long seed) {
		assertThatCode(() -> new World(seed).play()).doesNotThrowAnyException();
	}

	/**
	 * The processes with their store and VMs.
	 */
	static final class World {

		private final Random random;

		private final ManualEventLoop loop = new ManualEventLoop();

		private final MemoryStore store = new MemoryStore(this.loop);

		private final SimulatedVms vms;

		private final List<Node> nodes = new ArrayList<>();

		private Map<String, QueuePolicy> policies = Map.of();

		private Set<AvailabilityZoneId> zones = Set.of();

		World(long seed) {
			this.random = new Random(seed);
			this.vms = new SimulatedVms(this.loop, this.random);
			for (int i = 0; i < NODES; i++) {
				this.nodes.add(new Node(i));
			}
		}

		void play() {
			for (int i = 0; i < VMS; i++) {
				list(i);
			}
			this.nodes.forEach((node) -> node.leadership.checkLeader());
			this.loop.runFor(3000);
			for (int round = 0; round < ROUNDS; round++) {
				for (int i = this.random.nextInt(5); i > 0; i--) {
					request(this.nodes.get(this.random.nextInt(NODES)));
				}
				for (int i = this.random.nextInt(3); i > 0; i--) {
					disturb(this.nodes.get(this.random.nextInt(NODES)));
				}
				this.loop.runFor(ROUND_MILLIS[this.random.nextInt(ROUND_MILLIS.length)]);
			}
			this.store.mode = MemoryStore.Mode.WORKS;
			this.loop.runFor(20_000);
		}

		private JobId job() {
			return new JobId("%016x".formatted(this.random.nextInt(JOBS)));
		}

		private void request(Node node) {
			JobId job = job();
			switch (this.random.nextInt(10)) {
				case 0, 1, 2 -> node.service.submit(submission(job), once());
				case 3, 4, 5 -> node.service.cancel(job, leavesAt(), once());
				case 6 -> node.service.state(job, once());
				case 7 -> node.service.queuedJobs("q" + this.random.nextInt(QUEUES), once());
				default -> {
					JobSubmission submitted = submission(job);
					node.service
						.handleFrame(new PeerFrame(KINDS[this.random.nextInt(KINDS.length)], this.random.nextInt(3),
								job.value(), this.random.nextInt(5) - 1, SubmissionCodec.encode(submitted)));
				}
			}
		}

		private OptionalLong leavesAt() {
			return switch (this.random.nextInt(4)) {
				case 0 -> OptionalLong.empty();
				case 1 -> OptionalLong.of(this.loop.now() + this.random.nextInt(400) - 200);
				default -> OptionalLong.of(this.loop.now() + this.random.nextInt(6000));
			};
		}

		private static <T> Consumer<T> once() {
			boolean[] answered = { false };
			return (answer) -> {
				if (answered[0]) {
					throw new IllegalStateException("request was answered twice");
				}
				answered[0] = true;
			};
		}

		private JobSubmission submission(JobId job) {
			List<StepSpec> steps = new ArrayList<>();
			for (int number = this.random.nextInt(3); number >= 0; number--) {
				boolean longRunning = this.random.nextInt(4) == 0;
				StepSpec.Traits traits = new StepSpec.Traits(this.random.nextBoolean(), this.random.nextInt(4) == 0,
						this.random.nextInt(3) == 0, longRunning, this.random.nextInt(5) == 0);
				steps.add(new StepSpec(1 + this.random.nextInt(5), new Resources(this.random.nextInt(4) * 700, 10, 0),
						this.random.nextInt(900), steps.isEmpty() ? List.of() : List.of(steps.size() - 1), traits,
						new StepSpec.Placement("", "", this.random.nextBoolean(), this.random.nextInt(3)), "i",
						(longRunning && this.random.nextBoolean()) ? 40 : 0, this.random.nextInt(3) - 1));
			}
			JobSubmission.Schedule schedule = (this.random.nextInt(4) > 0) ? JobSubmission.Schedule.ONCE
					: new JobSubmission.Schedule(1 + this.random.nextInt(4), this.loop.wallClockMillis(),
							this.random.nextInt(1500));
			return new JobSubmission(job, "q" + this.random.nextInt(QUEUES), policy(), "payload", steps, schedule,
					this.loop.wallClockMillis());
		}

		private QueuePolicy policy() {
			boolean odd = this.random.nextInt(4) == 0;
			return new QueuePolicy(new ServiceName((this.random.nextInt(4) == 0) ? "other" : "press"),
					odd ? (int) oddNumber() : this.random.nextInt(3), odd ? (int) oddNumber() : this.random.nextInt(4),
					odd ? ODD_FACTORS[this.random.nextInt(ODD_FACTORS.length)] : 2, odd ? oddNumber() : 500);
		}

		private long oddNumber() {
			return ODD_NUMBERS[this.random.nextInt(ODD_NUMBERS.length)];
		}

		private void list(int number) {
			this.store.put("servers/vm-" + number,
					this.vms.vm(number)
						.entry((this.random.nextInt(5) == 0) ? "other" : "press", this.random.nextInt(6) == 0,
								this.random.nextInt(9) * 1000));
		}

		private void disturb(Node node) {
			int number = this.random.nextInt(VMS + 2);
			SimulatedVms.Vm vm = this.vms.vm(number);
			switch (this.random.nextInt(15)) {
				case 0, 1, 2 -> configure();
				case 3 -> node.leadership.resign("test", false);
				case 4 -> setMode(MODES[this.random.nextInt(MODES.length)]);
				case 5, 6 -> setMode(MemoryStore.Mode.WORKS);
				case 7 -> this.store.compact();
				case 8 -> this.store.commit(new Commit().delete(Leadership.LEADER_KEY), (reply) -> {
				});
				case 9 -> vm.toggleSilence();
				case 10 -> vm.restart();
				case 11 -> list(number);
				case 12 -> this.store.commit(new Commit().delete("servers/vm-" + number), (reply) -> {
				});
				case 13 -> this.vms.refuse(this.random.nextInt(3) * 0.1);
				default -> {
					if (this.random.nextInt(20) == 0) {
						node.leadership.resign("shutdown", true);
					}
				}
			}
		}

		private void setMode(MemoryStore.Mode mode) {
			this.store.mode = mode;
		}

		private void configure() {
			Map<String, QueuePolicy> latest = new HashMap<>();
			for (int queue = 0; queue < QUEUES; queue++) {
				if (this.random.nextInt(4) > 0) {
					latest.put("q" + queue, policy());
				}
			}
			this.policies = latest;
			this.zones = this.random.nextBoolean() ? Set.of(new AvailabilityZoneId("a")) : Set.of();
			for (Node node : this.nodes) {
				if (node.term != null) {
					node.term.updatePolicies(latest);
					node.term.updateEvacuations(this.zones);
				}
			}
		}

		/**
		 * A process.
		 */
		private final class Node implements Leadership.Listener {

			private final Term.Dependencies dependencies;

			private final Leadership leadership;

			private final JobService service;

			private Term term;

			Node(int number) {
				World world = World.this;
				JsonLineLog lines = new JsonLineLog("node-" + number, world.loop::wallClockMillis);
				this.dependencies = new Term.Dependencies(world.loop, world.store, new DecisionMetrics(lines));
				this.leadership = new Leadership(world.loop, world.store, this.dependencies.log(), world.random,
						new Leadership.Candidate("node-" + number, new InetSocketAddress("127.0.0.1", 1 + number),
								100 * number, 2000),
						this);
				this.service = new JobService(this.dependencies,
						new LeaderConnection(world.loop, GROUP, this.dependencies.log(), () -> {
						}), () -> Optional.ofNullable(this.term), () -> world.loop.now() - 10,
						new JobAdmission(null, Optional::empty, () -> 0, Long.MAX_VALUE));
			}

			@Override
			public void leadershipWon(Leadership.LeaderTerm leaderTerm) {
				World world = World.this;
				this.term = new Term(this.dependencies, leaderTerm, world.vms,
						new SchedulerSettings(6000, 3, 4000, 4000, 3000, EnumSet.allOf(SchedulerFeature.class)), 15_000,
						(reason) -> this.leadership.resign(reason, false), this.leadership::leaseHeld, () -> 0);
				this.term.updatePolicies(world.policies);
				this.term.updateEvacuations(world.zones);
				this.term.start();
			}

			@Override
			public void leadershipEnding() {
				this.term.holdOnly();
			}

			@Override
			public void leadershipLost() {
				if (this.term != null) {
					this.term.stop();
					this.term = null;
				}
			}

			@Override
			public void leaderFound(LeaderRecord leader) {
				World.this.loop.schedule(250, this.leadership::checkLeader);
			}

		}

	}

}
