package io.lentilstream.control.api;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import io.lentilstream.control.ManualEventLoop;
import io.lentilstream.control.leadership.Leadership;
import io.lentilstream.control.peers.LeaderConnection;
import io.lentilstream.control.peers.PeerFrame;
import io.lentilstream.control.store.MemoryStore;
import io.lentilstream.control.store.StoreReply;
import io.lentilstream.control.store.StoredItem;
import io.lentilstream.control.term.JobKeys;
import io.lentilstream.control.term.Term;
import io.lentilstream.control.term.UnusedPlatform;
import io.lentilstream.jobs.DecisionLog;
import io.lentilstream.jobs.JobCost;
import io.lentilstream.jobs.JobSubmission;
import io.lentilstream.jobs.QueuePolicy;
import io.lentilstream.jobs.StepSpec;
import io.lentilstream.jobs.codec.SubmissionCodec;
import io.lentilstream.jobs.scheduling.SchedulerSettings;
import io.lentilstream.model.JobId;
import io.lentilstream.model.Resources;
import io.lentilstream.model.ServiceName;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that no more jobs are stored than a leader can hold, and that a job that is
 * stored is not refused.
 */
class JobAdmissionTests {

	private static final long MAX_JOB_BYTES = 10_000_000;

	private static final SchedulerSettings SETTINGS = new SchedulerSettings(6000, 3, 4000, 4000, 3000, Set.of(),
			MAX_JOB_BYTES);

	private final ManualEventLoop loop = new ManualEventLoop();

	private final MemoryStore store = new MemoryStore(this.loop);

	private final NioEventLoopGroup group = new NioEventLoopGroup(1);

	private final DecisionLog log = (decision, subject, inputs) -> {
	};

	private final List<SubmissionWriter.Outcome> outcomes = new ArrayList<>();

	private final LeaderConnection connection = new LeaderConnection(this.loop, this.group, this.log, () -> {
	});

	private Term term;

	private int followers;

	private final JobAdmission admission = new JobAdmission(this.connection, () -> Optional.ofNullable(this.term),
			() -> this.followers, SETTINGS.maxAcceptedBytes());

	private final JobService service = new JobService(new Term.Dependencies(this.loop, this.store, this.log),
			this.connection, () -> Optional.ofNullable(this.term), this.loop::now, this.admission);

	@AfterEach
	void close() {
		this.group.shutdownGracefully();
	}

	// Guards against a leader that is filled with jobs that are accepted one after the
	// other, and a successor that cannot load them.
	@Test
	void jobsAreRefusedBeforeTheyFillALeader() {
		this.term = lead();
		long accepted = 0;
		for (int i = 0; i < 200; i++) {
			JobSubmission job = job("large-" + i, 100_000, 1);
			submit(job);
			accepted += (this.outcomes.get(i) == SubmissionWriter.Outcome.STORED) ? JobCost.bytes(job) : 0;
		}
		assertThat(this.outcomes).contains(SubmissionWriter.Outcome.STORED, SubmissionWriter.Outcome.NO_CAPACITY);
		assertThat(accepted).isBetween(SETTINGS.maxAcceptedBytes() / 2, SETTINGS.maxAcceptedBytes());
		assertThat(this.store.value(JobKeys.submission(new JobId("large-199")))).isNull();
		Term successor = lead();
		assertThat(successor.freeJobBytes()).isEqualTo(this.term.freeJobBytes());
	}

	// Guards against small jobs that are refused because a large one is.
	@Test
	void smallJobsAreAcceptedWhileALargeOneIsRefused() {
		this.term = lead();
		for (int i = 0; i < 40; i++) {
			submit(job("large-" + i, 200_000, 1));
		}
		assertThat(this.outcomes.get(39)).isEqualTo(SubmissionWriter.Outcome.NO_CAPACITY);
		submit(job("small", 100, 4));
		assertThat(this.outcomes.get(40)).isEqualTo(SubmissionWriter.Outcome.STORED);
	}

	// Guards against several processes that accept jobs for the same memory.
	@Test
	void theSharesOfAllProcessesAndReservationsFitTogether() {
		this.term = lead();
		this.followers = 9;
		long shares = 10 * this.admission.shareOfEach(this.term);
		long reserved = 0;
		for (int i = 0; i < 1000; i++) {
			reserved += this.term.reserve(new JobId("job-" + i), 50_000) ? 50_000 : 0;
		}
		assertThat(reserved).isPositive();
		assertThat(shares + reserved).isLessThanOrEqualTo(SETTINGS.maxAcceptedBytes());
	}

	// Guards against room that is lost to jobs that were never stored.
	@Test
	void reservationsOfJobsThatDoNotArriveExpire() {
		this.term = lead();
		long half = this.term.freeJobBytes() / 2;
		assertThat(this.term.reserve(new JobId("job-1"), half)).isTrue();
		assertThat(this.term.reserve(new JobId("job-2"), 1)).isFalse();
		this.loop.runFor(6000);
		assertThat(this.term.reserve(new JobId("job-2"), half)).isTrue();
	}

	// Guards against a follower that accepts without bound while it hears of no leader.
	@Test
	void aProcessWithoutALeaderAcceptsItsShareOnly() {
		this.admission.leaderAnswered(pong(20_000));
		for (int i = 0; i < 20; i++) {
			submit(job("job-" + i, 100, 1));
		}
		int stored = (int) this.outcomes.stream().filter(SubmissionWriter.Outcome.STORED::equals).count();
		assertThat(stored * JobCost.bytes(job("job", 100, 1))).isLessThanOrEqualTo(20_000);
		assertThat(stored).isBetween(5, 19);
		assertThat(this.outcomes.get(19)).isEqualTo(SubmissionWriter.Outcome.NO_CAPACITY);
	}

	// Guards against jobs that are refused at each change of leader, until the new one
	// has
	// loaded the others.
	@Test
	void aLeaderThatHasNotLoadedTheJobsTakesNoShareAway() {
		this.admission.leaderAnswered(pong(100_000));
		Term loading = lead(MemoryStore.Mode.REFUSES);
		assertThat(loading.begun()).isFalse();
		this.store.mode = MemoryStore.Mode.WORKS;
		this.admission.leaderAnswered(pong(this.admission.shareOfEach(loading)));
		submit(job("job", 100, 1));
		assertThat(this.outcomes).containsExactly(SubmissionWriter.Outcome.STORED);
	}

	// Guards against jobs that are refused during an upgrade, while an earlier version
	// leads.
	@Test
	void aLeaderThatTellsNothingLimitsNothing() {
		this.admission.leaderAnswered(PeerFrame.of(PeerFrame.Kind.PONG, 1, ""));
		for (int i = 0; i < 100; i++) {
			submit(job("job-" + i, 100_000, 1));
		}
		assertThat(this.outcomes).containsOnly(SubmissionWriter.Outcome.STORED);
	}

	// Guards against a job that is answered as refused although it runs.
	@Test
	void aJobThatIsStoredAlreadyIsNotRefused() {
		JobSubmission stored = job("stored", 1000, 1);
		this.store.put(JobKeys.submission(stored.id()), SubmissionCodec.encode(stored));
		this.admission.leaderAnswered(pong(0));
		submit(stored);
		submit(job("other", 1000, 1));
		assertThat(this.outcomes).containsExactly(SubmissionWriter.Outcome.STORED,
				SubmissionWriter.Outcome.NO_CAPACITY);
	}

	// Guards against callers that retry a job that can never be held.
	@Test
	void aJobThatCanNeverBeHeldIsRefusedForGood() {
		this.term = lead();
		StepSpec gang = new StepSpec(100_000, new Resources(10, 1, 0), 0, List.of(),
				new StepSpec.Traits(false, true, false, false, false), StepSpec.Placement.ANYWHERE, "", 0, -1);
		submit(job("gang", "", gang));
		assertThat(this.outcomes).containsExactly(SubmissionWriter.Outcome.TOO_LARGE);
	}

	// Guards against room that is lost with each submission that fails.
	@Test
	void jobsThatAreNotStoredTakeNoMemory() {
		this.term = lead();
		long free = this.term.freeJobBytes();
		this.store.mode = MemoryStore.Mode.REFUSES;
		for (int i = 0; i < 50; i++) {
			submit(job("failed-" + i, 50_000, 1));
		}
		this.store.mode = MemoryStore.Mode.WORKS;
		this.loop.runFor(10_000);
		assertThat(this.term.freeJobBytes()).isEqualTo(free);
		for (int i = 0; i < 10; i++) {
			submit(job("job-" + i, 50_000, 1));
		}
		assertThat(this.outcomes.subList(50, 60)).containsOnly(SubmissionWriter.Outcome.STORED);
	}

	private void submit(JobSubmission job) {
		this.service.submit(job, this.outcomes::add);
		this.loop.runFor(50);
	}

	private static PeerFrame pong(long share) {
		return PeerFrame.of(PeerFrame.Kind.PING, 1, "").reply(PeerFrame.Kind.PONG, 1, share);
	}

	private static JobSubmission job(String id, int payloadLength, int count) {
		return job(id, "x".repeat(payloadLength), new StepSpec(count, new Resources(1000, 100, 0), 500, List.of(),
				StepSpec.Traits.NONE, StepSpec.Placement.ANYWHERE, "", 0, -1));
	}

	private static JobSubmission job(String id, String payload, StepSpec step) {
		return new JobSubmission(new JobId(id), "queue", new QueuePolicy(new ServiceName("press"), 1, 2, 2, 500),
				payload, List.of(step), JobSubmission.Schedule.ONCE, 5);
	}

	private Term lead() {
		return lead(MemoryStore.Mode.WORKS);
	}

	private Term lead(MemoryStore.Mode storeMode) {
		this.store.put(Leadership.LEADER_KEY, new byte[1]);
		List<Long> token = new ArrayList<>();
		this.store.read(Leadership.LEADER_KEY, (reply) -> {
			if (reply instanceof StoreReply.Ok<StoredItem> item) {
				token.add(item.value().revision());
			}
		});
		this.loop.runFor(10);
		Term next = new Term(new Term.Dependencies(this.loop, this.store, this.log),
				new Leadership.LeaderTerm(1, token.get(0), () -> Long.MAX_VALUE, false), new UnusedPlatform(), SETTINGS,
				60_000, (reason) -> {
				}, () -> true, () -> 0);
		this.store.mode = storeMode;
		next.start();
		this.loop.runFor(500);
		return next;
	}

}
