package io.lentilstream.control.api;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import io.lentilstream.control.ManualLoop;
import io.lentilstream.control.peers.LeaderLink;
import io.lentilstream.control.store.MemoryStore;
import io.lentilstream.control.term.Term;
import io.lentilstream.jobs.DecisionLog;
import io.lentilstream.jobs.JobState;
import io.lentilstream.model.JobId;

import static org.assertj.core.api.Assertions.assertThat;

class JobServiceTests {

	private final ManualLoop loop = new ManualLoop();

	private final MemoryStore store = new MemoryStore(this.loop);

	private final NioEventLoopGroup group = new NioEventLoopGroup(1);

	private final DecisionLog log = (decision, subject, inputs) -> {
	};

	private long reachedAt;

	private final JobService service = new JobService(new Term.Tools(this.loop, this.store, this.log),
			new LeaderLink(this.loop, this.group, this.log, () -> {
			}), Optional::<Term>empty, () -> this.reachedAt);

	private final List<SubmissionLog.Outcome> outcomes = new ArrayList<>();

	@AfterEach
	void close() {
		this.group.shutdownGracefully();
	}

	@Test
	void aJobThatMayBeStoredIsNeverSaidToBeRefused() {
		this.store.mode = MemoryStore.Mode.APPLIES_LATE;
		this.service.submit(SubmissionLogTests.job("job-1"), this.outcomes::add);
		this.loop.runFor(2500);
		this.store.mode = MemoryStore.Mode.REFUSES;
		this.service.submit(SubmissionLogTests.job("job-1"), this.outcomes::add);
		this.reachedAt = this.loop.now() + 1;
		this.service.submit(SubmissionLogTests.job("job-1"), this.outcomes::add);
		this.loop.runFor(2500);
		assertThat(this.outcomes).hasSize(3).containsOnly(SubmissionLog.Outcome.UNKNOWN);
	}

	@Test
	void anotherJobIsRefusedAtOnceWhileTheStoreIsAway() {
		this.store.mode = MemoryStore.Mode.REFUSES;
		this.service.submit(SubmissionLogTests.job("job-1"), this.outcomes::add);
		this.loop.runFor(100);
		int commits = this.store.commits;
		this.service.submit(SubmissionLogTests.job("job-2"), this.outcomes::add);
		assertThat(this.outcomes).containsExactly(SubmissionLog.Outcome.REFUSED, SubmissionLog.Outcome.REFUSED);
		assertThat(this.store.commits).isEqualTo(commits);
	}

	@Test
	void aStateIsReadFromTheStoreWhileThereIsNoLeader() {
		this.service.submit(SubmissionLogTests.job("job-1"), this.outcomes::add);
		this.loop.runFor(100);
		List<JobService.StateAnswer> answers = new ArrayList<>();
		this.service.state(new JobId("job-1"), answers::add);
		this.service.state(new JobId("job-2"), answers::add);
		this.loop.runFor(100);
		assertThat(answers).containsExactlyInAnyOrder(new JobService.StateAnswer.Known(JobState.QUEUED),
				new JobService.StateAnswer.NoSuchJob());
	}

	@Test
	void aCancellationOfAnUnknownJobIsAnsweredSo() {
		List<JobService.CancelAnswer> answers = new ArrayList<>();
		this.service.cancel(new JobId("job-9"), answers::add);
		this.loop.runFor(100);
		assertThat(answers).containsExactly(JobService.CancelAnswer.NO_SUCH_JOB);
	}

}
