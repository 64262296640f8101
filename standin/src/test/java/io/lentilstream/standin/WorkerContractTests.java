package io.lentilstream.standin;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import io.lentilstream.clients.TaskReport;
import io.lentilstream.clients.TaskSpecification;
import io.lentilstream.clients.WorkerClient;
import io.lentilstream.clients.WorkerOutcome;
import io.lentilstream.model.Epoch;
import io.lentilstream.model.Resources;
import io.lentilstream.model.ShardId;
import io.lentilstream.model.TaskId;
import io.lentilstream.model.Urgency;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a worker that runs a task longer or more often than its owner may
 * conclude from the outcomes.
 */
class WorkerContractTests {

	private static final ShardId SHARD = new ShardId("zone-1", 0);

	private static final Epoch EPOCH = new Epoch(3);

	private static final Duration LEASE = Duration.ofSeconds(10);

	private static final Resources SIZE = new Resources(1_000, 2_000, 0);

	private static final TaskId TASK = new TaskId("task-1");

	private final StandinFixture fixture = new StandinFixture();

	private final WorkerClient workers = this.fixture.workers();

	@AfterEach
	void close() {
		this.fixture.close();
	}

	@Test
	void runsATaskToItsEndAndStartsItOnlyOnce() {
		assertThat(start(TASK, "sleep:200ms").state()).isEqualTo(TaskReport.State.RUNNING);
		this.fixture.pass(Duration.ofMillis(199));
		assertThat(start(TASK, "sleep:200ms").state()).isEqualTo(TaskReport.State.RUNNING);
		this.fixture.pass(Duration.ofMillis(1));
		assertThat(start(TASK, "sleep:200ms").state()).isEqualTo(TaskReport.State.DONE);
		assertThat(renew()).extracting(TaskReport::state).containsExactly(TaskReport.State.DONE);
		assertThat(runs(TASK)).singleElement().satisfies((run) -> {
			assertThat(run.from().until(run.until().orElseThrow())).isEqualTo(Duration.ofMillis(200));
			assertThat(run.end()).isEqualTo(TaskReport.State.DONE);
		});
	}

	@Test
	void stopsATaskAtTheEndOfItsLease() {
		start(TASK, "sleep:60s");
		this.fixture.pass(LEASE.minusMillis(1));
		assertThat(renew()).extracting(TaskReport::state).containsExactly(TaskReport.State.RUNNING);
		this.fixture.pass(LEASE.plusHours(1));
		assertThat(renew()).extracting(TaskReport::state).containsExactly(TaskReport.State.STOPPED);
		assertThat(runs(TASK)).singleElement()
			.satisfies((run) -> assertThat(run.from().until(run.until().orElseThrow()))
				.isEqualTo(LEASE.multipliedBy(2).minusMillis(1)));
	}

	@Test
	void endsALeaseAtTheInstantThatTheSenderNamedHoweverLateTheCommandArrives() {
		WorkerClient delayed = this.fixture.workersWithDelay(Duration.ofSeconds(4));
		report(delayed.start(StandinFixture.WORKER, SHARD, EPOCH, task(TASK, "sleep:60s", null), LEASE));
		this.fixture.pass(LEASE.minusSeconds(4));
		assertThat(runs(TASK)).singleElement()
			.satisfies(
					(run) -> assertThat(run.from().until(run.until().orElseThrow())).isEqualTo(LEASE.minusSeconds(4)));
	}

	@Test
	void refusesACommandThatArrivesAfterTheEndOfItsLease() {
		WorkerClient delayed = this.fixture.workersWithDelay(LEASE);
		assertThat(StandinFixture
			.get(delayed.start(StandinFixture.WORKER, SHARD, EPOCH, task(TASK, "sleep:60s", null), LEASE)))
			.isInstanceOf(WorkerOutcome.Refused.class);
		assertThat(this.fixture.platform.records().taskRuns()).isEmpty();
	}

	@Test
	void refusesALowerEpochAfterAHigherOneWasSeen() {
		start(TASK, "sleep:60s");
		StandinFixture.get(this.workers.renew(StandinFixture.WORKER, SHARD, EPOCH.next(), LEASE));
		Stream<CompletableFuture<WorkerOutcome>> late = Stream.of(
				this.workers.renew(StandinFixture.WORKER, SHARD, EPOCH, LEASE),
				this.workers.stop(StandinFixture.WORKER, SHARD, EPOCH, List.of(TASK)),
				this.workers.checkpoint(StandinFixture.WORKER, SHARD, EPOCH, TASK),
				this.workers.throttle(StandinFixture.WORKER, SHARD, EPOCH, TASK, 0.5), this.workers
					.start(StandinFixture.WORKER, SHARD, EPOCH, task(new TaskId("task-2"), "sleep:1s", null), LEASE));
		assertThat(late.map(StandinFixture::get)).containsOnly(new WorkerOutcome.Fenced(EPOCH.next()));
		assertThat(this.fixture.platform.records().workers().get(StandinFixture.WORKER).fenced()).isEqualTo(5);
		assertThat(
				StandinFixture.get(this.workers.renew(StandinFixture.WORKER, new ShardId("zone-1", 1), EPOCH, LEASE)))
			.isEqualTo(new WorkerOutcome.Done(List.of()));
	}

	@Test
	void resumesFromACheckpoint() {
		start(TASK, "sleep:200ms");
		this.fixture.pass(Duration.ofMillis(150));
		String checkpoint = report(this.workers.checkpoint(StandinFixture.WORKER, SHARD, EPOCH, TASK)).checkpoint()
			.orElseThrow();
		assertThat(stop(TASK).state()).isEqualTo(TaskReport.State.STOPPED);
		assertThat(report(
				this.workers.start(StandinFixture.WORKER, SHARD, EPOCH, task(TASK, "sleep:200ms", checkpoint), LEASE))
			.checkpoint()).hasValue(checkpoint);
		this.fixture.pass(Duration.ofMillis(50));
		assertThat(stop(TASK).state()).isEqualTo(TaskReport.State.DONE);
		assertThat(runs(TASK)).extracting(TaskRun::resumedFrom).containsExactly(Duration.ZERO, Duration.ofMillis(150));
		assertThat(this.fixture.platform.records().tasksInTwoPlaces()).isEmpty();
	}

	@Test
	void runsAThrottledTaskAtItsShareAndANoisyNeighborSlowsOthers() {
		start(TASK, "sleep:100ms");
		report(this.workers.throttle(StandinFixture.WORKER, SHARD, EPOCH, TASK, 0.5));
		this.fixture.pass(Duration.ofMillis(199));
		assertThat(renew().get(0).state()).isEqualTo(TaskReport.State.RUNNING);
		this.fixture.pass(Duration.ofMillis(1));
		assertThat(renew().get(0).state()).isEqualTo(TaskReport.State.DONE);
		TaskId quiet = new TaskId("quiet");
		start(quiet, "sleep:100ms");
		start(new TaskId("noisy"), "sleep:60s;noise:1.5");
		this.fixture.pass(Duration.ofMillis(249));
		assertThat(runs(quiet).get(0).until()).isEmpty();
		this.fixture.pass(Duration.ofMillis(1));
		assertThat(stop(quiet).state()).isEqualTo(TaskReport.State.DONE);
	}

	@Test
	void reportsUseAndSlowdownWithALag() {
		start(TASK, "sleep:60s;use:1.5");
		start(new TaskId("noisy"), "sleep:60s;noise:1");
		this.fixture.pass(StandinFixture.LAG.minusMillis(1));
		assertThat(renew().get(0).used()).isEqualTo(Resources.NONE);
		this.fixture.pass(Duration.ofMillis(1));
		assertThat(renew().get(0)).satisfies((report) -> {
			assertThat(report.used()).isEqualTo(new Resources(1_500, 3_000, 0));
			assertThat(report.slowdown()).isEqualTo(2);
		});
	}

	static Stream<Arguments> faults() {
		Consumer<WorkerFaults> silent = WorkerFaults::silence;
		Consumer<WorkerFaults> crashed = WorkerFaults::crash;
		Consumer<WorkerFaults> refusing = (faults) -> faults.refuse("maintenance");
		Consumer<WorkerFaults> failing = (faults) -> faults.failEverything("bad disk");
		Consumer<WorkerFaults> losing = WorkerFaults::loseReplies;
		return Stream.of(Arguments.of("silent", silent, "NoReply", 0), Arguments.of("crashed", crashed, "NoReply", 0),
				Arguments.of("refusing", refusing, "Refused", 0), Arguments.of("failing", failing, "Done", 1),
				Arguments.of("reply lost", losing, "NoReply", 1));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("faults")
	void statesExactlyWhatIsKnownAboutAStart(String name, Consumer<WorkerFaults> fault, String outcome, int starts) {
		boolean answers = !name.equals("silent") && !name.equals("crashed");
		WorkerClient client = answers ? this.workers : this.fixture.impatientWorkers();
		fault.accept(this.fixture.platform.faults().worker(StandinFixture.WORKER));
		WorkerOutcome result = StandinFixture
			.get(client.start(StandinFixture.WORKER, SHARD, EPOCH, task(TASK, "sleep:60s", null), LEASE));
		assertThat(result.getClass().getSimpleName()).isEqualTo(outcome);
		assertThat(this.fixture.platform.records().workers().get(StandinFixture.WORKER).starts()).isEqualTo(starts);
		if (result instanceof WorkerOutcome.Done done) {
			assertThat(done.reports().get(0).failure()).hasValue("bad disk");
		}
		this.fixture.platform.faults().worker(StandinFixture.WORKER).heal();
		assertThat(StandinFixture.get(this.workers.renew(StandinFixture.WORKER, SHARD, EPOCH, LEASE)))
			.isInstanceOf(WorkerOutcome.Done.class);
	}

	@Test
	void endsTheTasksOfACrashedVmAtOnce() {
		start(TASK, "sleep:60s");
		this.fixture.pass(Duration.ofSeconds(1));
		this.fixture.platform.faults().worker(StandinFixture.WORKER).crash();
		assertThat(runs(TASK).get(0).until()).isPresent();
		this.fixture.platform.faults().worker(StandinFixture.WORKER).heal();
		assertThat(renew()).isEmpty();
	}

	@Test
	void refusesAnUnknownProgramAndReportsAFailingOne() {
		assertThat(StandinFixture
			.get(this.workers.start(StandinFixture.WORKER, SHARD, EPOCH, task(TASK, "run:fast", null), LEASE)))
			.isEqualTo(new WorkerOutcome.Refused("unknown program"));
		start(TASK, "sleep:1ms;fail:bad input");
		this.fixture.pass(Duration.ofMillis(1));
		assertThat(renew().get(0).failure()).hasValue("bad input");
		assertThat(
				StandinFixture.get(this.workers.checkpoint(StandinFixture.WORKER, SHARD, EPOCH, new TaskId("absent"))))
			.isEqualTo(new WorkerOutcome.Refused("unknown task"));
		assertThat(stop(new TaskId("absent")).state()).isEqualTo(TaskReport.State.STOPPED);
	}

	@Test
	void recordsACommitmentBeyondTheCapacityAndTasksInTwoPlaces() {
		for (int i = 0; i < 4; i++) {
			start(new TaskId("task-" + i), "sleep:60s");
		}
		assertThat(this.fixture.platform.records().vmsOverCapacity()).isEmpty();
		start(new TaskId("task-4"), "sleep:60s");
		StandinRecords records = this.fixture.platform.records();
		assertThat(records.vmsOverCapacity()).containsExactly(StandinFixture.WORKER);
		assertThat(records.workers().get(StandinFixture.WORKER).highest()).isEqualTo(new Resources(5_000, 10_000, 0));
		assertThat(records.tasksInTwoPlaces()).isEmpty();
		TaskRun run = runs(new TaskId("task-4")).get(0);
		assertThat(run.overlaps(run)).isTrue();
	}

	private List<TaskRun> runs(TaskId task) {
		return this.fixture.platform.records().taskRuns().get(task);
	}

	private TaskReport start(TaskId task, String program) {
		return report(this.workers.start(StandinFixture.WORKER, SHARD, EPOCH, task(task, program, null), LEASE));
	}

	private List<TaskReport> renew() {
		return ((WorkerOutcome.Done) StandinFixture.get(this.workers.renew(StandinFixture.WORKER, SHARD, EPOCH, LEASE)))
			.reports();
	}

	private TaskReport stop(TaskId task) {
		return report(this.workers.stop(StandinFixture.WORKER, SHARD, EPOCH, List.of(task)));
	}

	private static TaskReport report(CompletableFuture<WorkerOutcome> outcome) {
		return ((WorkerOutcome.Done) StandinFixture.get(outcome)).reports().get(0);
	}

	private static TaskSpecification task(TaskId task, String program, String checkpoint) {
		return new TaskSpecification(task, SIZE, Urgency.BATCH, program, Optional.ofNullable(checkpoint));
	}

}
