package io.lentilstream.jobs.scheduling;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import io.lentilstream.jobs.JobState;
import io.lentilstream.jobs.JobSubmission;
import io.lentilstream.model.JobId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that of a job that has ended only its state is kept, and that it does not run
 * again.
 */
class EndedJobsTests {

	private final VirtualWorld world = new VirtualWorld(7);

	// Guards against a leader that runs out of memory because of jobs that have ended.
	@Test
	void tasksOfEndedJobsAreDiscarded() {
		List<JobSubmission> jobs = runJobs();
		this.world.clock.runFor(16_000);
		assertThat(this.world.scheduler.state.jobs).isEmpty();
		assertThat(jobs).allMatch((job) -> this.world.state(job) == JobState.COMPLETED);
	}

	// Guards against a successor that loads what it need not know.
	@Test
	void aSuccessorLoadsOnlyTheStatesOfEndedJobs() {
		List<JobSubmission> jobs = runJobs();
		this.world.takeOver();
		assertThat(this.world.scheduler.state.jobs).isEmpty();
		assertThat(jobs).allMatch((job) -> this.world.state(job) == JobState.COMPLETED);
	}

	// Guards against a job that runs again, since its submission arrives a second time.
	@Test
	void anEndedJobDoesNotRunAgain() {
		JobSubmission job = runJobs().get(0);
		this.world.clock.runFor(16_000);
		this.world.scheduler.submit(job);
		this.world.clock.runFor(1000);
		assertThat(this.world.state(job)).isEqualTo(JobState.COMPLETED);
		assertThat(this.world.violations).isEmpty();
		this.world.takeOver();
		this.world.scheduler.submit(job);
		this.world.clock.runFor(1000);
		assertThat(this.world.state(job)).isEqualTo(JobState.COMPLETED);
		assertThat(this.world.violations).isEmpty();
	}

	// Guards against a job that is forgotten before its state is stored.
	@Test
	void tasksAreKeptUntilTheEndIsStored() {
		this.world.addWorker("w0");
		this.world.takeOver();
		JobSubmission job = this.world.submit("job", 0, VirtualWorld.step(1, 1000, 2000));
		this.world.clock.runFor(500);
		this.world.toggleStore();
		this.world.clock.runFor(30_000);
		assertThat(this.world.scheduler.state.jobs).hasSize(1);
		assertThat(this.world.scheduler.endedBefore(Long.MAX_VALUE, 10)).isEmpty();
		this.world.toggleStore();
		this.world.clock.runFor(1000);
		assertThat(this.world.scheduler.state.jobs).isEmpty();
		assertThat(this.world.scheduler.endedBefore(Long.MAX_VALUE, 10)).containsExactly(job.id());
	}

	@Test
	void nothingIsKeptOfADeletedJob() {
		JobId job = runJobs().get(0).id();
		this.world.clock.runFor(16_000);
		assertThat(this.world.scheduler.endedBefore(Long.MAX_VALUE, 5)).hasSize(5);
		this.world.scheduler.remove(job);
		assertThat(this.world.scheduler.state(job)).isEmpty();
		assertThat(this.world.scheduler.endedBefore(Long.MAX_VALUE, 100)).hasSize(19);
	}

	private List<JobSubmission> runJobs() {
		this.world.addWorker("w0");
		this.world.takeOver();
		List<JobSubmission> jobs = new ArrayList<>();
		for (int i = 0; i < 20; i++) {
			jobs.add(this.world.submit("job-" + i, 0, VirtualWorld.step(3, 1000, 100)));
		}
		this.world.clock.runFor(5000);
		assertThat(jobs).allMatch((job) -> this.world.state(job) == JobState.COMPLETED);
		return jobs;
	}

}
