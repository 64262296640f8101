package io.lentilstream.control.term;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;

import io.lentilstream.control.ManualEventLoop;
import io.lentilstream.control.leadership.Leadership;
import io.lentilstream.control.store.DisturbedStore;
import io.lentilstream.control.store.MemoryStore;
import io.lentilstream.control.store.StoreReply;
import io.lentilstream.control.store.StoredItem;
import io.lentilstream.jobs.JobProgress;
import io.lentilstream.jobs.JobState;
import io.lentilstream.jobs.JobSubmission;
import io.lentilstream.jobs.QueuePolicy;
import io.lentilstream.jobs.StepSpec;
import io.lentilstream.jobs.codec.ProgressCodec;
import io.lentilstream.jobs.codec.SubmissionCodec;
import io.lentilstream.jobs.scheduling.SchedulerSettings;
import io.lentilstream.model.JobId;
import io.lentilstream.model.Resources;
import io.lentilstream.model.ServiceName;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that jobs that have ended cost a new leader little, however many there are, and
 * are deleted faster than jobs end.
 */
class EndedJobLoadTests {

	private static final int JOBS = 2000;

	private static final long RETENTION_MILLIS = 60_000;

	private static final JobId ACTIVE = new JobId("zz-active");

	private final ManualEventLoop loop = new ManualEventLoop();

	private final MemoryStore memory = new MemoryStore(this.loop);

	private final DisturbedStore store = new DisturbedStore(this.loop, this.memory, 50);

	private final List<String> log = new ArrayList<>();

	private Term term;

	// Guards against ended jobs that pile up, since 2 a second are deleted and more end.
	@Test
	void aBacklogOfEndedJobsIsDeletedFast() {
		storeEndedJobs(this.loop.wallClockMillis() - 2 * RETENTION_MILLIS);
		lead();
		this.loop.runFor(JOBS * 1000L / 50);
		for (int i = 0; i < JOBS; i++) {
			assertThat(this.memory.value(JobKeys.submission(ended(i)))).isNull();
			assertThat(this.memory.value(JobKeys.progress(ended(i)))).isNull();
		}
	}

	// Guards against jobs that are forgotten while callers may ask for them.
	@Test
	void jobsThatEndedJustNowAreKept() {
		storeEndedJobs(this.loop.wallClockMillis());
		lead();
		this.loop.runFor(RETENTION_MILLIS / 2);
		assertThat(this.term.state(ended(0))).contains(JobState.COMPLETED);
		assertThat(this.memory.value(JobKeys.submission(ended(0)))).isNotNull();
	}

	// Guards against a submission that is decoded, or run, although its job has ended.
	@Test
	void submissionsOfEndedJobsAreNotDecoded() {
		storeEndedJobs(this.loop.wallClockMillis());
		for (int i = 0; i < JOBS; i++) {
			this.memory.put(JobKeys.submission(ended(i)), new byte[] { 1, 2, 3 });
		}
		lead();
		assertThat(this.log).noneMatch((line) -> line.startsWith("job-unreadable"));
		assertThat(this.log).anyMatch((line) -> line.startsWith("term-begun") && line.contains("ended, " + JOBS));
		assertThat(this.term.state(ended(7))).contains(JobState.COMPLETED);
	}

	// Guards against an active job that is missed between the pages of ended ones.
	@Test
	void activeJobsAreLoadedBesideEndedOnes() {
		storeEndedJobs(this.loop.wallClockMillis());
		JobSubmission active = new JobSubmission(ACTIVE, "queue",
				new QueuePolicy(new ServiceName("press"), 0, 2, 2, 500), "payload",
				List.of(new StepSpec(1, new Resources(1000, 100, 0), 500, List.of(), StepSpec.Traits.NONE,
						StepSpec.Placement.ANYWHERE, "", 0, -1)),
				JobSubmission.Schedule.ONCE, 5);
		this.memory.put(JobKeys.submission(ACTIVE), SubmissionCodec.encode(active));
		lead();
		assertThat(this.term.state(ACTIVE)).contains(JobState.QUEUED);
		assertThat(this.term.queuedJobs("queue")).contains(1);
	}

	// Guards against a page that is lost while the progress of jobs cannot be read.
	@Test
	void submissionsWaitForTheProgressOfTheirJobs() {
		storeEndedJobs(this.loop.wallClockMillis());
		this.store.unanswered = (read) -> read.startsWith(JobKeys.PROGRESS);
		lead();
		assertThat(this.log).noneMatch((line) -> line.startsWith("term-begun"));
		this.store.unanswered = (read) -> false;
		this.loop.runFor(5000);
		assertThat(this.log).anyMatch((line) -> line.startsWith("term-begun") && line.contains("jobs, " + JOBS));
	}

	private void lead() {
		this.memory.put(Leadership.LEADER_KEY, new byte[1]);
		List<Long> token = new ArrayList<>();
		this.memory.read(Leadership.LEADER_KEY, (reply) -> {
			if (reply instanceof StoreReply.Ok<StoredItem> item) {
				token.add(item.value().revision());
			}
		});
		this.loop.runFor(10);
		this.term = new Term(
				new Term.Dependencies(this.loop, this.store,
						(decision, subject, inputs) -> this.log.add(decision + " " + Arrays.toString(inputs))),
				new Leadership.LeaderTerm(1, token.get(0), () -> Long.MAX_VALUE, false), new UnusedPlatform(),
				new SchedulerSettings(6000, 3, 4000, 4000, 3000, Set.of()), RETENTION_MILLIS, (reason) -> {
				}, () -> true, () -> 0);
		this.term.start();
		this.loop.runFor(2000);
	}

	private void storeEndedJobs(long endedAt) {
		for (int i = 0; i < JOBS; i++) {
			this.memory.put(JobKeys.submission(ended(i)), new byte[] { 1 });
			this.memory.put(JobKeys.progress(ended(i)), ProgressCodec
				.encode(new JobProgress(ended(i), JobState.COMPLETED, endedAt, List.of(0), List.of())));
		}
	}

	private static JobId ended(int number) {
		return new JobId("job-" + (10_000 + number));
	}

}
