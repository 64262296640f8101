package io.lentilstream.control.api;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import io.lentilstream.control.ManualEventLoop;
import io.lentilstream.control.store.MemoryStore;
import io.lentilstream.control.term.JobKeys;
import io.lentilstream.jobs.JobSubmission;
import io.lentilstream.jobs.QueuePolicy;
import io.lentilstream.jobs.StepSpec;
import io.lentilstream.model.JobId;
import io.lentilstream.model.Resources;
import io.lentilstream.model.ServiceName;

import static org.assertj.core.api.Assertions.assertThat;

class SubmissionWriterTests {

	private final ManualEventLoop loop = new ManualEventLoop();

	private final MemoryStore store = new MemoryStore(this.loop);

	private final SubmissionWriter writer = new SubmissionWriter(this.store);

	private final List<SubmissionWriter.Outcome> outcomes = new ArrayList<>();

	@Test
	void aRepeatedSubmissionIsReportedAsStoredAgain() {
		this.writer.store(job("job-1"), this.outcomes::add);
		this.loop.runFor(50);
		this.writer.store(job("job-1"), this.outcomes::add);
		this.loop.runFor(50);
		assertThat(this.outcomes).containsExactly(SubmissionWriter.Outcome.STORED, SubmissionWriter.Outcome.STORED);
	}

	@Test
	void aSubmissionThatTheStoreRefusesIsNotStored() {
		this.store.mode = MemoryStore.Mode.REFUSES;
		this.writer.store(job("job-1"), this.outcomes::add);
		this.loop.runFor(5000);
		assertThat(this.outcomes).containsExactly(SubmissionWriter.Outcome.REFUSED);
		assertThat(this.store.value(JobKeys.submission(new JobId("job-1")))).isNull();
	}

	@Test
	void aLostReplyIsResolvedByRetryingTheCommit() {
		this.store.mode = MemoryStore.Mode.LOSES_REPLIES;
		this.writer.store(job("job-1"), this.outcomes::add);
		this.loop.runFor(100);
		this.store.mode = MemoryStore.Mode.WORKS;
		this.loop.runFor(1000);
		assertThat(this.outcomes).containsExactly(SubmissionWriter.Outcome.STORED);
	}

	@Test
	void aRefusalAfterALostReplyIsReportedAsUnknown() {
		this.store.mode = MemoryStore.Mode.APPLIES_LATE;
		this.writer.store(job("job-1"), this.outcomes::add);
		this.loop.runFor(100);
		this.store.mode = MemoryStore.Mode.REFUSES;
		this.loop.runFor(5000);
		assertThat(this.outcomes).containsExactly(SubmissionWriter.Outcome.UNKNOWN);
		assertThat(this.store.value(JobKeys.submission(new JobId("job-1")))).isNotNull();
	}

	@Test
	void aBurstOfSubmissionsTakesFewCommits() {
		for (int i = 0; i < 100; i++) {
			this.writer.store(job("job-" + i), this.outcomes::add);
		}
		this.loop.runFor(200);
		assertThat(this.outcomes).hasSize(100).containsOnly(SubmissionWriter.Outcome.STORED);
		assertThat(this.store.commits).isLessThanOrEqualTo(9);
	}

	// Guards against a refusal of the store that also meets the other submissions of the
	// commit.
	@Test
	void aSubmissionThatIsTooLargeForTheStoreIsNotSentToIt() {
		this.writer.store(job("job-1", 1_100_000), this.outcomes::add);
		this.loop.runFor(200);
		assertThat(this.outcomes).containsExactly(SubmissionWriter.Outcome.TOO_LARGE);
		assertThat(this.store.commits).isZero();
	}

	@Test
	void submissionsQueuedBehindCommitsWithoutReplyAreRefusedAtOnce() {
		this.store.mode = MemoryStore.Mode.SILENT;
		for (int i = 0; i < 40; i++) {
			this.writer.store(job("job-" + i), this.outcomes::add);
		}
		this.loop.runFor(800);
		assertThat(this.outcomes).hasSize(38).containsOnly(SubmissionWriter.Outcome.REFUSED);
		this.writer.store(job("job-late"), this.outcomes::add);
		assertThat(this.outcomes).hasSize(39);
	}

	@Test
	void aRepeatedSubmissionIsNotRefusedWhileTheFirstOneMayBeStored() {
		this.store.mode = MemoryStore.Mode.SILENT;
		this.writer.store(job("job-1"), this.outcomes::add);
		this.writer.store(job("job-2"), this.outcomes::add);
		this.loop.runFor(800);
		this.writer.store(job("job-1"), this.outcomes::add);
		assertThat(this.outcomes).containsExactly(SubmissionWriter.Outcome.UNKNOWN);
	}

	@Test
	void aNewSubmissionIsSentAfterAllCommitsHaveFailed() {
		this.store.mode = MemoryStore.Mode.SILENT;
		this.writer.store(job("job-1"), this.outcomes::add);
		this.writer.store(job("job-2"), this.outcomes::add);
		this.loop.runFor(5000);
		this.store.mode = MemoryStore.Mode.WORKS;
		this.outcomes.clear();
		this.writer.store(job("job-3"), this.outcomes::add);
		this.loop.runFor(100);
		assertThat(this.outcomes).containsExactly(SubmissionWriter.Outcome.STORED);
	}

	static JobSubmission job(String id) {
		return job(id, 0);
	}

	static JobSubmission job(String id, int payloadBytes) {
		StepSpec step = new StepSpec(1, new Resources(1000, 100, 0), 500, List.of(), StepSpec.Traits.NONE,
				StepSpec.Placement.ANYWHERE, "", 0, -1);
		return new JobSubmission(new JobId(id), "queue", new QueuePolicy(new ServiceName("press"), 0, 2, 2, 500),
				"payload" + "x".repeat(payloadBytes), List.of(step), JobSubmission.Schedule.ONCE, 5);
	}

}
