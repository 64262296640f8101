package io.lentilstream.jobs.scheduling;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import io.lentilstream.jobs.JobCost;
import io.lentilstream.jobs.JobProgress;
import io.lentilstream.jobs.JobState;
import io.lentilstream.jobs.JobSubmission;
import io.lentilstream.jobs.StepSpec;
import io.lentilstream.jobs.codec.ProgressCodec;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a step of many tasks costs a scheduler only those that run, and that none is
 * lost or run twice.
 */
class WideStepTests {

	private static final StepSpec.Traits SPECULATIVE = new StepSpec.Traits(false, false, true, false, false);

	/** The memory for jobs with which few tasks are kept, in bytes. */
	private static final long SMALL_MEMORY = 100_000;

	private final VirtualWorld world = new VirtualWorld(7);

	// Guards against a leader that runs out of memory because of the tasks that wait.
	@Test
	void waitingTasksAreNotCreatedBeforeTheyCanStart() {
		addWorkers(this.world, 4);
		this.world.takeOver();
		for (int i = 0; i < 20; i++) {
			this.world.submit("wide-" + i, 0, VirtualWorld.step(100_000, 4000, 1000));
		}
		this.world.clock.runFor(3000);
		SchedulerState state = this.world.scheduler.state;
		assertThat(state.jobs.values().stream().mapToInt(Job::createdTasks).sum())
			.isLessThanOrEqualTo(maxTasks(state) + 20 * JobCost.MIN_TASKS_PER_STEP);
		this.world.takeOver();
		this.world.clock.runFor(3000);
		SchedulerState successor = this.world.scheduler.state;
		assertThat(successor.jobs.values().stream().mapToInt(Job::createdTasks).sum())
			.isLessThanOrEqualTo(maxTasks(successor) + 20 * JobCost.MIN_TASKS_PER_STEP);
	}

	// Guards against tasks of steps that wait for other steps.
	@Test
	void tasksOfUnreleasedStepsAreNotCreated() {
		addWorkers(this.world, 1);
		this.world.takeOver();
		List<StepSpec> steps = new ArrayList<>();
		steps.add(VirtualWorld.step(1, 1000, 60_000));
		for (int number = 1; number < 1000; number++) {
			steps.add(VirtualWorld.step(100, 1000, 100, number - 1));
		}
		this.world.submit("chain", 0, steps.toArray(StepSpec[]::new));
		this.world.clock.runFor(1000);
		assertThat(this.world.scheduler.state.jobs.values().stream().mapToInt(Job::createdTasks).sum()).isOne();
	}

	// Guards against a limit on tasks that makes small jobs wait behind wide ones.
	@Test
	void aSmallJobStartsAtOnceWhileMoreTasksWaitThanAreCreated() {
		addWorkers(this.world, 4);
		this.world.settings = new SchedulerSettings(6000, 3, 4000, 4000, 3000, this.world.features,
				225 * JobCost.TASK_BYTES);
		this.world.takeOver();
		this.world.submit("wide", 2, VirtualWorld.step(50_000, 10, 60_000));
		this.world.clock.runFor(3000);
		assertThat(this.world.scheduler.state.jobs.values().stream().mapToInt(Job::createdTasks).sum())
			.isLessThanOrEqualTo(maxTasks(this.world.scheduler.state));
		JobSubmission small = this.world.submit("small", 2, VirtualWorld.step(4, 1000, 500));
		this.world.clock.runFor(1000);
		assertThat(this.world.state(small)).isEqualTo(JobState.COMPLETED);
	}

	// Guards against progress that grows by each task that is done, until the store
	// refuses it.
	@Test
	void progressOfAWideStepIsABitForEachTask() {
		addWorkers(this.world, 4);
		this.world.takeOver();
		this.world.submit("wide", 0, VirtualWorld.step(20_000, 1, 20));
		int largest = 0;
		for (int i = 0; i < 100; i++) {
			this.world.clock.runFor(100);
			for (Job job : this.world.scheduler.state.jobs.values()) {
				largest = Math.max(largest, ProgressCodec.encode(job.progress()).length);
			}
		}
		assertThat(this.world.completedTasks()).isGreaterThan(5000);
		assertThat(largest).isLessThan(20_000 / Byte.SIZE + 100);
	}

	// Guards against tasks that are done and fill a leader, in many jobs of few tasks.
	@Test
	void tasksThatAreDoneAreDiscardedWhileThereAreMany() {
		addWorkers(this.world, 4);
		this.world.settings = new SchedulerSettings(6000, 3, 4000, 4000, 3000, this.world.features, SMALL_MEMORY);
		this.world.takeOver();
		for (int i = 0; i < 40; i++) {
			this.world.submit("job-" + i, 2, VirtualWorld.step(100, 200, 100), VirtualWorld.step(1, 1000, 100_000, 0));
			this.world.clock.runFor(300);
		}
		long done = this.world.scheduler.state.jobs.values()
			.stream()
			.flatMap((job) -> job.occurrences.values().stream())
			.flatMap(List::stream)
			.mapToLong(StepState::doneTasks)
			.sum();
		assertThat(this.world.completedTasks()).isGreaterThan(3000);
		// Each step keeps the one that was done last.
		long kept = 2 * 40;
		assertThat((done - kept) * JobCost.IDLE_TASK_BYTES)
			.isLessThan(this.world.scheduler.state.settings.maxTaskBytes());
	}

	// Guards against a successor that runs tasks again that are done, or forgets others,
	// with much memory and with little.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20 })
	void allTasksRunOnceWhileLeadersChangeAndVmsCrash(long seed) {
		VirtualWorld changing = new VirtualWorld(seed);
		if (seed % 2 == 0) {
			changing.settings = new SchedulerSettings(6000, 3, 4000, 4000, 3000, changing.features, SMALL_MEMORY);
		}
		addWorkers(changing, 5);
		changing.unanswered = 0.02;
		changing.takeOver();
		JobSubmission wide = changing.submit("wide", 2, VirtualWorld.step(3000, 200, 100),
				VirtualWorld.step(300, 200, 100, 0));
		JobSubmission narrow = changing.submit("narrow", 2, VirtualWorld.step(120, 200, 300),
				VirtualWorld.step(60, 200, 100, 0));
		JobSubmission copied = changing.submit("copied", 2,
				VirtualWorld.withTraits(VirtualWorld.step(400, 200, 200), SPECULATIVE));
		for (int change = 0; change < 4; change++) {
			changing.clock.runFor(500 + changing.random.nextInt(1500));
			if (changing.random.nextBoolean()) {
				changing.crashAndReturn(changing.workers.get("w" + changing.random.nextInt(5)));
			}
			changing.clock.runFor(changing.random.nextInt(300));
			changing.takeOver();
		}
		changing.clock.runFor(120_000);
		assertThat(changing.violations).isEmpty();
		assertThat(List.of(changing.state(wide), changing.state(narrow), changing.state(copied)))
			.containsOnly(JobState.COMPLETED);
		assertThat(changing.scheduler.state.waiting).isEmpty();
	}

	// Guards against a task that is run again because its predecessor's run is reported
	// before it would have been created.
	@Test
	void runsOfThePredecessorAreAdopted() {
		addWorkers(this.world, 1);
		this.world.takeOver();
		this.world.submit("wide", 2, VirtualWorld.step(1000, 10, 60_000));
		this.world.clock.runFor(3000);
		int running = this.world.workers.get("w0").running.size();
		assertThat(running).isGreaterThan(StepState.MAX_KEPT_TASKS / 2);
		this.world.takeOver();
		this.world.clock.runFor(3000);
		assertThat(this.world.workers.get("w0").running).hasSizeGreaterThanOrEqualTo(running);
		assertThat(this.world.log).noneMatch((line) -> line.contains("stop-ordered"));
		assertThat(this.world.violations).isEmpty();
	}

	// Guards against a wide job that cannot fail or be cancelled.
	@Test
	void aWideJobFailsWithItsTasksAndEndsWhenItIsCancelled() {
		addWorkers(this.world, 2);
		this.world.takeOver();
		JobSubmission failing = this.world.submit("failing", 2, VirtualWorld.step(1000, 100, 200));
		this.world.failRuns(failing, 0, 700, 50L, 50L, 50L);
		JobSubmission cancelled = this.world.submit("cancelled", 2, VirtualWorld.step(5000, 100, 500));
		this.world.clock.runFor(1000);
		this.world.cancel(cancelled.id());
		this.world.clock.runFor(20_000);
		assertThat(this.world.state(failing)).isEqualTo(JobState.FAILED);
		assertThat(this.world.state(cancelled)).isEqualTo(JobState.CANCELLED);
		assertThat(this.world.scheduler.state.waiting).isEmpty();
		assertThat(this.world.workers.values()).allMatch((worker) -> worker.running.isEmpty());
	}

	// Guards against progress of narrow steps that earlier versions cannot read.
	@Test
	void progressOfNarrowStepsIsStoredAsBefore() {
		addWorkers(this.world, 2);
		this.world.takeOver();
		this.world.submit("narrow", 2, VirtualWorld.step(StepState.MAX_KEPT_TASKS, 1000, 200));
		this.world.clock.runFor(2000);
		JobProgress progress = this.world.scheduler.state.jobs.values().iterator().next().progress();
		assertThat(progress.tasks()).isNotEmpty();
		assertThat(progress.steps()).isEmpty();
	}

	private static int maxTasks(SchedulerState state) {
		return (int) (state.settings.maxTaskBytes() / JobCost.IDLE_TASK_BYTES);
	}

	private static void addWorkers(VirtualWorld world, int count) {
		for (int i = 0; i < count; i++) {
			world.addWorker("w" + i);
		}
	}

}
