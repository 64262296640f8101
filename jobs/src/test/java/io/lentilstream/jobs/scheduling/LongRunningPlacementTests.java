package io.lentilstream.jobs.scheduling;

import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import io.lentilstream.jobs.JobState;
import io.lentilstream.jobs.JobSubmission;
import io.lentilstream.jobs.StepSpec;
import io.lentilstream.jobs.TaskName;
import io.lentilstream.model.Resources;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that nothing keeps a long-running task for 3 s from a VM on which it fits, and
 * that urgent tasks keep their headroom beside.
 */
class LongRunningPlacementTests {

	private static final StepSpec.Traits LONG_RUNNING = new StepSpec.Traits(false, false, false, true, false);

	/** The time in which a long-running task has to start, in milliseconds. */
	private static final long MAX_START_MILLIS = 3000;

	private final VirtualWorld world = new VirtualWorld(7);

	// Guards against a task that waits forever for the last VM without such tasks, which
	// is the only one that is left to it.
	@Test
	void theLastTaskOfAStepStartsOnTheLastVmWithoutOne() {
		addWorkers(7);
		this.world.takeOver();
		this.world.workers.get("w6").crash();
		this.world.workers.get("w6").listed = false;
		this.world.scheduler.workerUnlisted(this.world.workers.get("w6").listing().id(), true);
		this.world.clock.runFor(500);
		JobSubmission job = this.world.submit("lasting", 2, longRunning(6, new Resources(250, 500, 0), "", 1));
		this.world.clock.runFor(MAX_START_MILLIS);
		assertThat(running(job)).isEqualTo(6);
	}

	// Guards against headroom on a service with one VM that keeps it empty.
	@Test
	void aTaskStartsOnTheOnlyVmOfAService() {
		addWorkers(1);
		this.world.takeOver();
		JobSubmission job = this.world.submit("lasting", 2, longRunning(1, new Resources(1000, 500, 0), "", 0));
		this.world.clock.runFor(MAX_START_MILLIS);
		assertThat(running(job)).isEqualTo(1);
	}

	// Guards against headroom of whole VMs after a burst of urgent tasks, while most of
	// the processor time is free.
	@Test
	void largeTasksStartAfterABurstOfUrgentTasks() {
		addWorkers(6);
		this.world.takeOver();
		for (int i = 0; i < 40; i++) {
			this.world.submit("short-" + i, 0, VirtualWorld.step(8, 900, 500));
		}
		this.world.clock.runFor(12_000);
		JobSubmission job = this.world.submit("lasting", 2, longRunning(5, new Resources(5000, 500, 0), "", 0));
		this.world.clock.runFor(MAX_START_MILLIS);
		assertThat(running(job)).isEqualTo(5);
	}

	// Guards against headroom of whole VMs that is counted without regard to which VMs a
	// task may use.
	@Test
	void tasksStartOnTheOnlyVmWithTheirLabelOrEnoughMemory() {
		addWorkers(5);
		this.world.workers.get("w4").rack = "r9-9";
		this.world.workers.get("w3").changeCapacity(new Resources(8000, 64_000, 0));
		this.world.takeOver();
		this.world.submit("others", 2, longRunning(3, new Resources(500, 500, 0), "r1-1", 1));
		this.world.clock.runFor(1000);
		JobSubmission labelled = this.world.submit("labelled", 2,
				longRunning(1, new Resources(500, 500, 0), "r9-9", 0));
		JobSubmission large = this.world.submit("large", 2, longRunning(1, new Resources(500, 40_000, 0), "", 0));
		this.world.clock.runFor(MAX_START_MILLIS);
		assertThat(List.of(running(labelled), running(large))).containsExactly(1, 1);
	}

	// Guards against a fix that helps the first of several jobs only, or that lets them
	// take the headroom of urgent tasks.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10 })
	void severalJobsStartWhileUrgentTasksAreServedInTime(long seed) {
		VirtualWorld busy = new VirtualWorld(seed);
		for (int i = 0; i < 6; i++) {
			busy.addWorker("w" + i);
		}
		busy.takeOver();
		JobSubmission[] lasting = new JobSubmission[4];
		for (int second = 0; second < 20; second++) {
			if (second >= 4 && second < 8) {
				lasting[second - 4] = busy.submit("lasting-" + second, 2,
						longRunning(6, new Resources(300 + busy.random.nextInt(300), 500, 0), "", 1));
			}
			JobSubmission urgent = busy.submit("urgent-" + second, 0, VirtualWorld.step(10, 1000, 300));
			busy.clock.runFor(900);
			assertThat(busy.state(urgent)).isEqualTo(JobState.COMPLETED);
			busy.clock.runFor(100);
		}
		for (JobSubmission job : lasting) {
			assertThat(running(busy, job)).isEqualTo(6);
		}
	}

	// Guards against long-running tasks that take all of the headroom once they have
	// waited.
	@Test
	void urgentTasksAreServedInTimeWhileMoreTasksWaitThanFit() {
		addWorkers(8);
		this.world.takeOver();
		this.world.submit("urgent-before", 0, VirtualWorld.step(12, 1000, 300));
		this.world.clock.runFor(1000);
		this.world.submit("lasting", 2, longRunning(40, new Resources(2000, 300, 0), "", 0));
		this.world.clock.runFor(MAX_START_MILLIS);
		JobSubmission urgent = this.world.submit("urgent", 0, VirtualWorld.step(8, 1000, 300));
		this.world.clock.runFor(500);
		assertThat(this.world.state(urgent)).isEqualTo(JobState.COMPLETED);
	}

	// Guards against a task that waits behind the trial of another one on the only VM
	// that
	// has room.
	@Test
	void aTaskStartsOnAVmThatIsKeptForTheTrialOfAnother() {
		addWorkers(2);
		this.world.takeOver();
		JobSubmission suspect = this.world.submit("suspect", 0, longRunning(1, new Resources(500, 500, 0), "", 0));
		Worker kept = worker("w0");
		Worker full = worker("w1");
		this.world.clock.runFor(100);
		kept.keptFor = this.world.scheduler.state.findTask(new TaskName(suspect.id(), 0, 0, 0));
		full.consecutiveFailures = WorkerCircuitBreaker.FAILURE_THRESHOLD;
		full.avoidUntil = Long.MAX_VALUE;
		JobSubmission job = this.world.submit("lasting", 2, longRunning(1, new Resources(500, 500, 0), "", 0));
		this.world.clock.runFor(MAX_START_MILLIS);
		assertThat(running(job)).isEqualTo(1);
	}

	// Guards against a task that is passed over in each pass because another one of its
	// step, which has just been lost, is refused before it.
	@Test
	void aTaskIsNotPassedOverBecauseOneThatHasJustBegunToWaitIsRefused() {
		this.world.features = Set.of(SchedulerFeature.WORKER_PROFILES);
		addWorkers(1);
		this.world.takeOver();
		JobSubmission job = this.world.submit("lasting", 2, longRunning(2, new Resources(500, 500, 0), "", 0));
		this.world.clock.runFor(1);
		Worker doubted = worker("w0");
		Task lost = this.world.scheduler.state.findTask(new TaskName(job.id(), 0, 0, 0));
		for (int i = 0; i < 30; i++) {
			// The VM may be faulty, and the first task has always just been lost.
			doubted.faultBelief.recordEnd(true, 0.01, this.world.clock.now());
			this.world.scheduler.state.waiting.remove(lost);
			lost.lastRun = 1;
			this.world.scheduler.state.addWaiting(lost);
			this.world.clock.runFor(100);
		}
		assertThat(running(job)).isPositive();
	}

	// Guards against a task or gang that is passed over because more urgent ones of the
	// same size keep arriving, which have not waited yet.
	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void aTaskIsNotPassedOverBecauseMoreUrgentOnesKeepArriving(boolean gang) {
		addWorkers(1);
		this.world.takeOver();
		StepSpec.Traits traits = new StepSpec.Traits(false, gang, false, true, false);
		StepSpec step = VirtualWorld.withTraits(longRunning(2, new Resources(10, 10, 0), "", 0), traits);
		JobSubmission job = this.world.submit("first", 2, step);
		for (int i = 0; i < 10; i++) {
			this.world.submit("urgent-" + i, 0, step);
			this.world.clock.runFor(MAX_START_MILLIS / 10);
		}
		assertThat(running(job)).isEqualTo(2);
	}

	// Guards against a log that does not tell why a long-running task waits.
	@Test
	void theLogTellsWhyATaskWaits() {
		addWorkers(2);
		this.world.takeOver();
		this.world.submit("fitting", 2, longRunning(1, new Resources(8000, 500, 0), "", 0));
		this.world.clock.runFor(1000);
		JobSubmission job = this.world.submit("lasting", 2, longRunning(3, new Resources(7900, 500, 0), "", 0));
		this.world.clock.runFor(MAX_START_MILLIS);
		assertThat(running(job)).isZero();
		assertThat(this.world.log)
			.anyMatch((line) -> line.contains("task-waits " + job.id()) && line.contains("HEADROOM=1, NO_CAPACITY=1"));
	}

	private void addWorkers(int count) {
		for (int i = 0; i < count; i++) {
			this.world.addWorker("w" + i);
		}
	}

	private Worker worker(String id) {
		return this.world.scheduler.state.workers.get(this.world.workers.get(id).listing().id());
	}

	private static StepSpec longRunning(int count, Resources size, String label, int maxPerWorker) {
		return new StepSpec(count, size, 0, List.of(), LONG_RUNNING,
				new StepSpec.Placement(label, "", false, maxPerWorker), "image", 50, -1);
	}

	private int running(JobSubmission job) {
		return running(this.world, job);
	}

	private static int running(VirtualWorld world, JobSubmission job) {
		return world.workers.values()
			.stream()
			.mapToInt((worker) -> (int) worker.running.keySet()
				.stream()
				.filter((task) -> task.job().equals(job.id()))
				.count())
			.sum();
	}

}
