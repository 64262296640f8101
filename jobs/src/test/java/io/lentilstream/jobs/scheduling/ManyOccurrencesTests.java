package io.lentilstream.jobs.scheduling;

import org.junit.jupiter.api.Test;

import io.lentilstream.jobs.JobState;
import io.lentilstream.jobs.JobSubmission;

import static org.assertj.core.api.Assertions.assertThat;

class ManyOccurrencesTests {

	private static final int MAX_WAITING_TASKS = 10_000;

	private final VirtualWorld world = new VirtualWorld(1);

	// Guards against a job that fills the memory of leader after leader, since all of its
	// occurrences are due at once.
	@Test
	void occurrencesThatAreDueTogetherWaitForEarlierOnes() {
		this.world.addWorker("w0");
		this.world.takeOver();
		this.world.submitRepeating("job-1", new JobSubmission.Schedule(50_000, 0, 0), VirtualWorld.step(2, 100, 50));
		assertThat(this.world.scheduler.state.waiting).hasSizeLessThanOrEqualTo(MAX_WAITING_TASKS);
		this.world.takeOver();
		assertThat(this.world.scheduler.state.waiting).hasSizeLessThanOrEqualTo(MAX_WAITING_TASKS);
	}

	@Test
	void allOccurrencesRunAlthoughNotAllWaitAtOnce() {
		this.world.addWorker("w0");
		this.world.takeOver();
		JobSubmission job = this.world.submitRepeating("job-1", new JobSubmission.Schedule(3, 0, 0),
				VirtualWorld.step(6000, 1, 10));
		SchedulerState state = this.world.scheduler.state;
		assertThat(state.waiting.size() + state.taskFeeder.uncreatedTasks()).isEqualTo(6000);
		this.world.clock.runFor(60_000);
		assertThat(this.world.state(job)).isEqualTo(JobState.COMPLETED);
		assertThat(this.world.violations).isEmpty();
	}

}
