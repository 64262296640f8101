package io.lentilstream.control.api;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import io.lentilstream.control.ManualEventLoop;
import io.lentilstream.control.peers.LeaderConnection;
import io.lentilstream.control.store.MemoryStore;
import io.lentilstream.control.term.JobKeys;
import io.lentilstream.control.term.SubmissionTombstone;
import io.lentilstream.control.term.Term;
import io.lentilstream.jobs.DecisionLog;
import io.lentilstream.model.JobId;

import static org.assertj.core.api.Assertions.assertThat;

class LateSubmissionTests {

	private static final JobId JOB = new JobId("job-1");

	private final ManualEventLoop loop = new ManualEventLoop();

	private final MemoryStore store = new MemoryStore(this.loop);

	private final NioEventLoopGroup group = new NioEventLoopGroup(1);

	private final DecisionLog log = (decision, subject, inputs) -> {
	};

	private final JobService submitting = service();

	private final JobService cancelling = service();

	private final List<SubmissionWriter.Outcome> outcomes = new ArrayList<>();

	private final List<JobService.CancelResult> answers = new ArrayList<>();

	private JobService service() {
		return new JobService(new Term.Dependencies(this.loop, this.store, this.log),
				new LeaderConnection(this.loop, this.group, this.log, () -> {
				}), Optional::<Term>empty, this.loop::now,
				new JobAdmission(null, Optional::empty, () -> 0, Long.MAX_VALUE));
	}

	@AfterEach
	void close() {
		this.group.shutdownGracefully();
	}

	@Test
	void aSubmissionUnderWayIsNotStoredAfterItsCancellationIsAnswered() {
		this.store.mode = MemoryStore.Mode.APPLIES_LATE;
		this.submitting.submit(SubmissionWriterTests.job("job-1"), this.outcomes::add);
		this.loop.runFor(10);
		this.store.mode = MemoryStore.Mode.WORKS;
		cancel(JOB);
		this.loop.runFor(100);
		assertThat(this.answers).containsExactly(JobService.CancelResult.NO_SUCH_JOB);
		this.loop.runFor(5000);
		assertThat(stored()).isEqualTo(SubmissionTombstone.value());
		assertThat(this.outcomes).containsExactly(SubmissionWriter.Outcome.CANCELLED);
	}

	@Test
	void aSubmissionAfterItsCancellationIsNeitherStoredNorShown() {
		cancel(JOB);
		this.loop.runFor(100);
		this.submitting.submit(SubmissionWriterTests.job("job-1"), this.outcomes::add);
		this.submitting.submit(SubmissionWriterTests.job("job-2"), this.outcomes::add);
		this.loop.runFor(100);
		assertThat(this.answers).containsExactly(JobService.CancelResult.NO_SUCH_JOB);
		assertThat(this.outcomes).containsExactlyInAnyOrder(SubmissionWriter.Outcome.CANCELLED,
				SubmissionWriter.Outcome.STORED);
		List<JobService.StateResult> states = new ArrayList<>();
		this.submitting.state(JOB, states::add);
		this.loop.runFor(100);
		assertThat(states).containsExactly(new JobService.StateResult.NoSuchJob());
	}

	@Test
	void aCancellationIsNotAnsweredAsUnknownIfTheSubmissionIsStoredMeanwhile() {
		cancel(JOB);
		this.loop.runFor(5);
		this.store.put(JobKeys.submission(JOB), new byte[] { 1, 2 });
		this.loop.runFor(5000);
		assertThat(this.answers).containsExactly(JobService.CancelResult.UNAVAILABLE);
		assertThat(stored()).hasSize(2);
		assertThat(this.store.value(JobKeys.cancellation(JOB))).isNotNull();
	}

	@Test
	void aCancellationIsNotAnsweredAsUnknownWhileSubmissionsCannotBePrevented() {
		cancel(JOB);
		this.loop.runFor(5);
		this.store.mode = MemoryStore.Mode.REFUSES;
		this.loop.runFor(100);
		assertThat(this.answers).containsExactly(JobService.CancelResult.UNAVAILABLE);
	}

	@Test
	void aLostReplyIsResolvedBeforeACancellationIsAnswered() {
		cancel(new JobId("job-0"));
		this.loop.runFor(100);
		this.answers.clear();
		cancel(JOB);
		this.loop.runFor(3);
		this.store.mode = MemoryStore.Mode.LOSES_REPLIES;
		this.loop.runFor(100);
		assertThat(this.answers).isEmpty();
		this.store.mode = MemoryStore.Mode.WORKS;
		this.loop.runFor(1000);
		assertThat(this.answers).containsExactly(JobService.CancelResult.NO_SUCH_JOB);
		assertThat(stored()).isNotNull();
	}

	@Test
	void aRepeatedCancellationPreventsSubmissionsForAsLongAgain() {
		cancel(JOB);
		this.loop.runFor(130_000);
		cancel(JOB);
		this.loop.runFor(119_000);
		assertThat(this.answers).hasSize(2).containsOnly(JobService.CancelResult.NO_SUCH_JOB);
		assertThat(stored()).isNotNull();
		this.loop.runFor(200_000);
		assertThat(stored()).isNull();
	}

	@Test
	void aStreamOfCancellationsOfUnknownJobsStoresABoundedNumberOfItems() {
		for (int i = 0; i < 5 * TombstoneWriter.MAX_PER_LEASE; i++) {
			cancel(new JobId("unknown-" + i));
		}
		this.loop.runFor(1000);
		assertThat(this.answers).hasSize(5 * TombstoneWriter.MAX_PER_LEASE);
		assertThat(Collections.frequency(this.answers, JobService.CancelResult.NO_SUCH_JOB))
			.isEqualTo(TombstoneWriter.MAX_PER_LEASE);
		assertThat(this.store.commits).isEqualTo(TombstoneWriter.MAX_PER_LEASE);
		this.loop.runFor(120_000);
		this.answers.clear();
		cancel(JOB);
		this.loop.runFor(1000);
		assertThat(this.answers).containsExactly(JobService.CancelResult.NO_SUCH_JOB);
	}

	private void cancel(JobId job) {
		this.cancelling.cancel(job, OptionalLong.of(this.loop.now() + 3000), this.answers::add);
	}

	private byte[] stored() {
		return this.store.value(JobKeys.submission(JOB));
	}

}
