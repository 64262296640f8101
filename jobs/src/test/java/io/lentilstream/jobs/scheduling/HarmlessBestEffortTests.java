package io.lentilstream.jobs.scheduling;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

import org.junit.jupiter.api.Test;

import io.lentilstream.jobs.CommandResult;
import io.lentilstream.jobs.InterferenceSnapshot;
import io.lentilstream.jobs.JobSubmission;
import io.lentilstream.jobs.QueuePolicy;
import io.lentilstream.jobs.StepSpec;
import io.lentilstream.jobs.TaskName;
import io.lentilstream.jobs.WorkerCommands;
import io.lentilstream.jobs.WorkerId;
import io.lentilstream.jobs.WorkerListing;
import io.lentilstream.model.JobId;
import io.lentilstream.model.Resources;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for serving tasks that miss their latency target through their own load, beside
 * best-effort tasks that do not increase their latency.
 */
class HarmlessBestEffortTests {

	private static final double TARGET = 50;

	private long now = 1_000_000;

	private final List<Integer> speeds = new ArrayList<>();

	private final SchedulerState state = new SchedulerState(VirtualWorld.SETTINGS, new SpeedRecorder(),
			(decision, subject, inputs) -> {
			}, () -> this.now, LeadershipLease.unlimited(0));

	private final InterferenceModel model = new InterferenceModel();

	private final TailForecast forecast = new TailForecast(this.model);

	private final BestEffortThrottle throttle = new BestEffortThrottle(this.state, this.forecast);

	private final Worker worker = worker();

	private final Run serving = run("serving", new StepSpec.Traits(false, false, false, true, false), TARGET);

	HarmlessBestEffortTests() {
		this.model.restore(new InterferenceSnapshot(List.of(new InterferenceSnapshot.Pair("serving", "harmless", 0),
				new InterferenceSnapshot.Pair("serving", "disturbing", 4))));
	}

	@Test
	void harmlessTaskIsPlacedBesideAServingTaskThatMissesItsTargetAnyway() {
		report(1.2 * TARGET);
		assertThat(choose("harmless")).isSameAs(this.worker);
		assertThat(choose("disturbing")).isNull();
	}

	@Test
	void harmlessTaskIsNotThrottledAtOnce() {
		addBestEffortRun("harmless");
		for (int i = 0; i < 200; i++) {
			report(0.4 * TARGET);
			this.now += 500;
		}
		report(1.2 * TARGET);
		this.now += 1000;
		report(1.2 * TARGET);
		assertThat(this.speeds).isEmpty();
	}

	@Test
	void noTaskIsPlacedBesideAServingTaskThatHasBeenOverTargetTooLong() {
		report(1.2 * TARGET);
		this.now += 1000;
		report(1.2 * TARGET);
		assertThat(choose("harmless")).isNull();
	}

	@Test
	void noisyMeasurementJustBelowTheTargetDoesNotResetTheTimeOverTarget() {
		addBestEffortRun("harmless");
		for (int i = 0; i < 8 && this.speeds.isEmpty(); i++) {
			report((i % 2 == 0) ? 1.1 * TARGET : 0.97 * TARGET);
			this.now += 500;
		}
		assertThat(this.speeds).containsExactly(0);
	}

	@Test
	void interferingTaskIsThrottledAtOnce() {
		addBestEffortRun("disturbing");
		report(1.2 * TARGET);
		assertThat(this.speeds).hasSize(1);
	}

	@Test
	void allBestEffortTasksPauseBeforeTheMaximumTimeOverTarget() {
		addBestEffortRun("harmless");
		report(1.2 * TARGET);
		long overTargetFrom = this.now;
		while (this.speeds.isEmpty()) {
			this.now += 500;
			report(1.2 * TARGET);
		}
		assertThat(this.speeds).containsExactly(0);
		assertThat(this.now - overTargetFrom).isLessThan(VirtualWorld.SETTINGS.maxOverTargetMillis());
	}

	@Test
	void taskOfAJobWithoutRunsDoesNotWaitLongForLowTailsWhileProcessorTimeIsUnused() {
		report(0.7 * TARGET);
		Task task = task("disturbing", new StepSpec.Traits(true, false, false, false, true), -1);
		this.state.addWaiting(task);
		assertThat(choose(task)).isNull();
		this.now += 900;
		assertThat(choose(task)).isNull();
		this.now += 100;
		assertThat(choose(task)).isSameAs(this.worker);
	}

	@Test
	void taskOfAJobWithoutRunsWaitsForLowTailsWhileMostOfTheProcessorTimeIsReserved() {
		report(0.7 * TARGET);
		while (this.worker.reserved.milliCores() < 0.6 * this.worker.listing.capacity().milliCores()) {
			run("serving-" + this.worker.servingRuns, new StepSpec.Traits(false, false, false, true, false), TARGET);
		}
		Task task = task("disturbing", new StepSpec.Traits(true, false, false, false, true), -1);
		this.state.addWaiting(task);
		this.now += 5000;
		assertThat(choose(task)).isNull();
	}

	@Test
	void waitingTaskOfAJobWithRunsIsPlacedOnlyWhereTailsStayLow() {
		report(0.7 * TARGET);
		Task task = task("disturbing", new StepSpec.Traits(true, false, false, false, true), -1);
		this.state.addWaiting(task);
		task.addRun(new Run(task, 1, this.worker, this.now));
		this.now += 5000;
		assertThat(choose(task)).isNull();
	}

	@Test
	void waitingTaskIsNotPlacedBesideAServingTaskThatHasBeenOverTargetTooLong() {
		Task task = task("disturbing", new StepSpec.Traits(true, false, false, false, true), -1);
		this.state.addWaiting(task);
		report(1.2 * TARGET);
		this.now += 2000;
		report(1.2 * TARGET);
		assertThat(choose(task)).isNull();
	}

	private void report(double tail) {
		this.serving.measurement = tail;
		this.throttle.apply(this.worker, this.now);
	}

	private Worker choose(String image) {
		Task task = task(image, new StepSpec.Traits(true, false, false, false, true), -1);
		task.waitingSince = this.now;
		return choose(task);
	}

	private Worker choose(Task task) {
		this.state.workers.put(this.worker.id(), this.worker);
		UtilizationTracker utilization = new UtilizationTracker(this.state);
		utilization.update(this.now);
		WorkerSelector workerSelector = new WorkerSelector(this.forecast, new HeadroomReserve(this.state), utilization,
				new ReliablePlacementRule(this.state));
		return workerSelector.choose(task, List.of(this.worker), "", this.now);
	}

	private void addBestEffortRun(String image) {
		Run run = run(image, new StepSpec.Traits(true, false, false, false, true), -1);
		run.measurement = 1000;
	}

	private Run run(String image, StepSpec.Traits traits, double target) {
		Run run = new Run(task(image, traits, target), 1, this.worker, this.now);
		run.enterPhase(Run.Phase.RUNNING, this.now);
		this.worker.add(run);
		return run;
	}

	private Task task(String image, StepSpec.Traits traits, double target) {
		StepSpec step = new StepSpec(1, new Resources(1000, 100, 0), 1000, List.of(), traits,
				StepSpec.Placement.ANYWHERE, image, target, -1);
		JobSubmission submission = new JobSubmission(new JobId(image), "q",
				new QueuePolicy(VirtualWorker.SERVICE, 0, 3, 2, 500), "payload", List.of(step),
				JobSubmission.Schedule.ONCE, this.now);
		Job job = new Job(submission, this.now);
		job.createOccurrence(0);
		return job.findTask(0, 0, 0);
	}

	private Worker worker() {
		Worker created = new Worker(new WorkerListing(new WorkerId("w1"), 5, VirtualWorker.SERVICE,
				new InetSocketAddress(1), "a", false, "r1-1", new Resources(8000, 16_000, 0), Set.of()), this.now);
		created.hasReported = true;
		return created;
	}

	/**
	 * Records the speeds that are set.
	 */
	private final class SpeedRecorder implements WorkerCommands {

		@Override
		public void start(WorkerListing worker, StartCommand command, Consumer<CommandResult> callback) {
			throw new IllegalStateException("unexpected start command");
		}

		@Override
		public void stop(WorkerListing worker, TaskName task, int run, Consumer<CommandResult> callback) {
			throw new IllegalStateException("unexpected stop command");
		}

		@Override
		public void setSpeed(WorkerListing worker, TaskName task, int run, int percent,
				Consumer<CommandResult> callback) {
			HarmlessBestEffortTests.this.speeds.add(percent);
			callback.accept(new CommandResult.Done(0));
		}

		@Override
		public void requestReport(WorkerListing worker, ReportRequest request, Consumer<ReportResult> callback) {
			throw new IllegalStateException("unexpected report request");
		}

	}

}
