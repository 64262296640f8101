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
 * Serving tasks whose own load takes them over their target, beside filling tasks that
 * add nothing to it.
 */
class HarmlessFillingTests {

	private static final double TARGET = 50;

	private long now = 1_000_000;

	private final List<Integer> paces = new ArrayList<>();

	private final SchedulerState state = new SchedulerState(VirtualWorld.SETTINGS, new PaceOrders(),
			(decision, subject, inputs) -> {
			}, () -> this.now, LeadershipLease.unlimited(0));

	private final InterferenceModel model = new InterferenceModel();

	private final TailForecast forecast = new TailForecast(this.model);

	private final BestEffortThrottle pacing = new BestEffortThrottle(this.state, this.forecast);

	private final Worker worker = worker();

	private final Run serving = run("serving", new StepSpec.Traits(false, false, false, true, false), TARGET);

	HarmlessFillingTests() {
		this.model.expect(new InterferenceSnapshot(List.of(new InterferenceSnapshot.Pair("serving", "harmless", 0),
				new InterferenceSnapshot.Pair("serving", "disturbing", 4))));
	}

	@Test
	void aHarmlessTaskJoinsAServingTaskThatMissesItsTargetByItself() {
		report(1.2 * TARGET);
		assertThat(choose("harmless")).isSameAs(this.worker);
		assertThat(choose("disturbing")).isNull();
	}

	@Test
	void aHarmlessTaskIsNotSlowedDownAtOnce() {
		fill("harmless");
		for (int i = 0; i < 200; i++) {
			report(0.4 * TARGET);
			this.now += 500;
		}
		report(1.2 * TARGET);
		this.now += 1000;
		report(1.2 * TARGET);
		assertThat(this.paces).isEmpty();
	}

	@Test
	void noTaskJoinsAServingTaskThatHasMissedItsTargetForLong() {
		report(1.2 * TARGET);
		this.now += 1000;
		report(1.2 * TARGET);
		assertThat(choose("harmless")).isNull();
	}

	@Test
	void aRoughReportJustBelowTheTargetDoesNotEndTheTimeOverIt() {
		fill("harmless");
		for (int i = 0; i < 8 && this.paces.isEmpty(); i++) {
			report((i % 2 == 0) ? 1.1 * TARGET : 0.97 * TARGET);
			this.now += 500;
		}
		assertThat(this.paces).containsExactly(0);
	}

	@Test
	void aDisturbingTaskIsSlowedDownAtOnce() {
		fill("disturbing");
		report(1.2 * TARGET);
		assertThat(this.paces).hasSize(1);
	}

	@Test
	void allTasksPauseBeforeTheTimeForWhichATargetMayBeMissed() {
		fill("harmless");
		report(1.2 * TARGET);
		long since = this.now;
		while (this.paces.isEmpty()) {
			this.now += 500;
			report(1.2 * TARGET);
		}
		assertThat(this.paces).containsExactly(0);
		assertThat(this.now - since).isLessThan(VirtualWorld.SETTINGS.maxOverTargetMillis());
	}

	private void report(double tail) {
		this.serving.figure = tail;
		this.pacing.apply(this.worker, this.now);
	}

	private Worker choose(String image) {
		WorkerSelector placement = new WorkerSelector(this.forecast, new HeadroomReserve(this.state));
		return placement.choose(task(image, new StepSpec.Traits(true, false, false, false, true), -1),
				List.of(this.worker), "", this.now);
	}

	private void fill(String image) {
		Run run = run(image, new StepSpec.Traits(true, false, false, false, true), -1);
		run.figure = 1000;
	}

	private Run run(String image, StepSpec.Traits traits, double target) {
		Run run = new Run(task(image, traits, target), 1, this.worker, this.now);
		run.enter(Run.Phase.RUNNING, this.now);
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
		job.openOccurrence(0);
		return job.find(0, 0, 0);
	}

	private Worker worker() {
		Worker created = new Worker(new WorkerListing(new WorkerId("w1"), 5, VirtualWorker.SERVICE,
				new InetSocketAddress(1), "a", false, "r1-1", new Resources(8000, 16_000, 0), Set.of()), this.now);
		created.opened = true;
		return created;
	}

	/**
	 * Notes the paces that are ordered.
	 */
	private final class PaceOrders implements WorkerCommands {

		@Override
		public void start(WorkerListing worker, StartCommand order, Consumer<CommandResult> answer) {
			throw new IllegalStateException("nothing is to be started");
		}

		@Override
		public void stop(WorkerListing worker, TaskName task, int run, Consumer<CommandResult> answer) {
			throw new IllegalStateException("nothing is to be stopped");
		}

		@Override
		public void setSpeed(WorkerListing worker, TaskName task, int run, int percent,
				Consumer<CommandResult> answer) {
			HarmlessFillingTests.this.paces.add(percent);
			answer.accept(new CommandResult.Done(0));
		}

		@Override
		public void requestReport(WorkerListing worker, ReportRequest order, Consumer<ReportResult> answer) {
			throw new IllegalStateException("nothing is to be asked");
		}

	}

}
