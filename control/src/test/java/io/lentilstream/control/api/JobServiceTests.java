package io.lentilstream.control.api;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import io.lentilstream.control.EventLoop;
import io.lentilstream.control.ManualEventLoop;
import io.lentilstream.control.peers.LeaderConnection;
import io.lentilstream.control.peers.PeerFrame;
import io.lentilstream.control.store.Commit;
import io.lentilstream.control.store.MemoryStore;
import io.lentilstream.control.term.JobKeys;
import io.lentilstream.control.term.Term;
import io.lentilstream.jobs.DecisionLog;
import io.lentilstream.jobs.JobState;
import io.lentilstream.model.JobId;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;

class JobServiceTests {

	private final ManualEventLoop loop = new ManualEventLoop();

	private final MemoryStore store = new MemoryStore(this.loop);

	private final NioEventLoopGroup group = new NioEventLoopGroup(1);

	private final DecisionLog log = (decision, subject, inputs) -> {
	};

	private long lastReplyAt;

	private final JobService service = new JobService(new Term.Dependencies(this.loop, this.store, this.log),
			new LeaderConnection(this.loop, this.group, this.log, () -> {
			}), Optional::<Term>empty, () -> this.lastReplyAt,
			new JobAdmission(null, Optional::empty, () -> 0, Long.MAX_VALUE));

	private final List<SubmissionWriter.Outcome> outcomes = new ArrayList<>();

	@AfterEach
	void close() {
		this.group.shutdownGracefully();
	}

	@Test
	void aJobThatMayBeStoredIsNeverReportedAsRefused() {
		this.store.mode = MemoryStore.Mode.APPLIES_LATE;
		this.service.submit(SubmissionWriterTests.job("job-1"), this.outcomes::add);
		this.loop.runFor(2500);
		this.store.mode = MemoryStore.Mode.REFUSES;
		this.service.submit(SubmissionWriterTests.job("job-1"), this.outcomes::add);
		this.lastReplyAt = this.loop.now() + 1;
		this.service.submit(SubmissionWriterTests.job("job-1"), this.outcomes::add);
		this.loop.runFor(2500);
		assertThat(this.outcomes).hasSize(3).containsOnly(SubmissionWriter.Outcome.UNKNOWN);
	}

	@Test
	void anotherJobIsRefusedAtOnceWhileTheStoreIsUnreachable() {
		this.store.mode = MemoryStore.Mode.REFUSES;
		this.service.submit(SubmissionWriterTests.job("job-1"), this.outcomes::add);
		this.loop.runFor(100);
		int commits = this.store.commits;
		this.service.submit(SubmissionWriterTests.job("job-2"), this.outcomes::add);
		assertThat(this.outcomes).containsExactly(SubmissionWriter.Outcome.REFUSED, SubmissionWriter.Outcome.REFUSED);
		assertThat(this.store.commits).isEqualTo(commits);
	}

	// Guards against a job that the store refuses again and again, after which all others
	// were refused for a while.
	@Test
	void aJobThatIsTooLargeDoesNotKeepOthersFromBeingStored() {
		this.store.mode = MemoryStore.Mode.REFUSES;
		this.service.submit(SubmissionWriterTests.job("job-1", 1_100_000), this.outcomes::add);
		this.loop.runFor(100);
		this.store.mode = MemoryStore.Mode.WORKS;
		this.service.submit(SubmissionWriterTests.job("job-2"), this.outcomes::add);
		this.loop.runFor(100);
		assertThat(this.outcomes).containsExactly(SubmissionWriter.Outcome.TOO_LARGE, SubmissionWriter.Outcome.STORED);
	}

	@Test
	void aStateIsReadFromTheStoreWhileThereIsNoLeader() {
		this.service.submit(SubmissionWriterTests.job("job-1"), this.outcomes::add);
		this.loop.runFor(100);
		List<JobService.StateResult> answers = new ArrayList<>();
		this.service.state(new JobId("job-1"), answers::add);
		this.service.state(new JobId("job-2"), answers::add);
		this.loop.runFor(100);
		assertThat(answers).containsExactlyInAnyOrder(new JobService.StateResult.Known(JobState.QUEUED),
				new JobService.StateResult.NoSuchJob());
	}

	@Test
	void aJobThatWasDeletedAfterItsEndIsNotShownAsQueuedByTheProcessThatAcceptedIt() {
		this.service.submit(SubmissionWriterTests.job("job-1"), this.outcomes::add);
		this.loop.runFor(60_000);
		this.store.commit(new Commit().delete(JobKeys.submission(new JobId("job-1"))), (reply) -> {
		});
		this.loop.runFor(100);
		List<JobService.StateResult> answers = new ArrayList<>();
		this.service.state(new JobId("job-1"), answers::add);
		List<JobService.CancelResult> cancellations = new ArrayList<>();
		this.service.cancel(new JobId("job-1"), OptionalLong.of(this.loop.now() + 3000), cancellations::add);
		this.loop.runFor(5000);
		assertThat(answers).containsExactly(new JobService.StateResult.NoSuchJob());
		assertThat(cancellations).containsExactly(JobService.CancelResult.NO_SUCH_JOB);
	}

	@Test
	void cancellingAnUnknownJobReportsThatItDoesNotExist() {
		List<JobService.CancelResult> answers = new ArrayList<>();
		this.service.cancel(new JobId("job-9"), OptionalLong.of(this.loop.now() + 3000), answers::add);
		this.loop.runFor(100);
		assertThat(answers).containsExactly(JobService.CancelResult.NO_SUCH_JOB);
	}

	// Guards against a cancelled job that runs on after its cancellation is acknowledged.
	@Test
	void aCancellationIsNotAcknowledgedWhileNoLeaderStopsTheTasks() {
		this.service.submit(SubmissionWriterTests.job("job-1"), this.outcomes::add);
		this.loop.runFor(100);
		List<JobService.CancelResult> answers = new ArrayList<>();
		this.service.cancel(new JobId("job-1"), OptionalLong.of(this.loop.now() + 3000), answers::add);
		this.loop.runFor(5000);
		assertThat(answers).containsExactly(JobService.CancelResult.UNAVAILABLE);
	}

	@Test
	void aCancellationIsAnsweredBeforeItsCallerLeaves() {
		this.service.submit(SubmissionWriterTests.job("job-1"), this.outcomes::add);
		this.loop.runFor(100);
		List<JobService.CancelResult> answers = new ArrayList<>();
		this.service.cancel(new JobId("job-1"), OptionalLong.of(this.loop.now() + 1000), answers::add);
		this.loop.runFor(900);
		assertThat(answers).containsExactly(JobService.CancelResult.UNAVAILABLE);
	}

	@Test
	void aCancellationWhoseCallerDoesNotSayHowLongItWaitsIsAnsweredWithinFourSeconds() {
		this.service.submit(SubmissionWriterTests.job("job-1"), this.outcomes::add);
		this.loop.runFor(100);
		List<JobService.CancelResult> answers = new ArrayList<>();
		this.service.cancel(new JobId("job-1"), OptionalLong.empty(), answers::add);
		this.loop.runFor(4000);
		assertThat(answers).containsExactly(JobService.CancelResult.UNAVAILABLE);
	}

	@Test
	void aCancellationThatAPeerAnnouncesIsNotConfirmedByAProcessThatDoesNotLead() {
		PeerFrame question = PeerFrame.of(PeerFrame.Kind.CANCELLED, 7, "job-1");
		assertThat(this.service.handleFrame(question).kind()).isEqualTo(PeerFrame.Kind.NOT_LEADING);
	}

	@Test
	void aPeerOfAnEarlierVersionThatAnnouncesACancellationReceivesNoReply() {
		assertThat(this.service.handleFrame(PeerFrame.of(PeerFrame.Kind.CANCELLED, 0, "job-1"))).isNull();
	}

	@ParameterizedTest
	@EnumSource(names = { "ASK_STATE", "SUBMITTED", "CANCELLED" })
	void aFrameAboutAJobWithAnInvalidIdReceivesNoReply(PeerFrame.Kind kind) {
		for (String subject : List.of("", "job 1", "x".repeat(200))) {
			assertThat(this.service.handleFrame(PeerFrame.of(kind, 7, subject))).isNull();
		}
	}

	// Guards against a peer whose bytes end the process.
	@ParameterizedTest
	@ValueSource(strings = { "", " ", "a/b", "job 1", "\u00e4", "..", "\n" })
	void aFrameAboutNoJobHasNoReplyAndNoEffect(String subject) {
		for (PeerFrame.Kind kind : PeerFrame.Kind.values()) {
			assertThatCode(() -> this.service.handleFrame(PeerFrame.of(kind, 7, subject))).doesNotThrowAnyException();
		}
	}

	// Guards against a header that keeps a cancellation waiting without end.
	@Test
	void aCancellationWhoseCallerHasLeftLongAgoIsAnsweredInTime() {
		List<Long> delays = new ArrayList<>();
		EventLoop recording = new EventLoop() {

			@Override
			public long now() {
				return JobServiceTests.this.loop.now();
			}

			@Override
			public long wallClockMillis() {
				return JobServiceTests.this.loop.wallClockMillis();
			}

			@Override
			public Runnable schedule(long millis, Runnable task) {
				delays.add(millis);
				return JobServiceTests.this.loop.schedule(0, () -> {
				});
			}

		};
		new CancellationConfirmer(recording, (job, answer) -> answer.accept(false)).await(new JobId("job-1"),
				Long.MIN_VALUE + 100, (outcome) -> {
				});
		assertThat(delays).allSatisfy((delay) -> assertThat(delay).isBetween(0L, 4000L));
	}

}
