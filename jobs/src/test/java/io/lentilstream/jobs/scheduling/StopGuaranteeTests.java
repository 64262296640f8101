package io.lentilstream.jobs.scheduling;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import io.lentilstream.jobs.JobSubmission;
import io.lentilstream.jobs.StepSpec;

import static org.assertj.core.api.Assertions.assertThat;

class StopGuaranteeTests {

	/**
	 * How long after the acknowledgement of its cancellation a job may run, in
	 * milliseconds.
	 */
	private static final long MAX_RUN_MILLIS = 3200;

	/** How long a caller may wait for the acknowledgement, in milliseconds. */
	private static final long MAX_WAIT_MILLIS = 4000;

	/**
	 * The time from the loss of a leader to the election of the next, in milliseconds.
	 */
	private static final long ELECTION_MILLIS = 2300;

	private static final int LOSSES = 40;

	private static final StepSpec.Traits LONG_RUNNING = new StepSpec.Traits(false, false, false, true, false);

	private final VirtualWorld world = new VirtualWorld(1);

	@Test
	void aCancellationIsGuaranteedOnceTheVmsHaveConfirmedTheStops() {
		JobSubmission job = start(2, 4);
		this.world.cancel(job.id());
		assertThat(guaranteed(job)).isFalse();
		this.world.clock.runFor(50);
		assertThat(guaranteed(job)).isTrue();
		assertThat(running()).isZero();
	}

	@Test
	void aJobThatIsNotCancelledIsNotGuaranteedToStop() {
		assertThat(guaranteed(start(2, 1))).isFalse();
	}

	// Guards against cancellations that wait for the one VM of many whose first reports
	// are lost again and again.
	@Test
	void cancellationsAroundALossOfTheLeaderAreGuaranteedInTimeAlthoughAnswersAreLost() {
		int late = 0;
		for (int seed = 0; seed < LOSSES; seed++) {
			VirtualWorld lossy = new VirtualWorld(seed);
			for (int i = 0; i < 45; i++) {
				lossy.addWorker("w" + i);
			}
			lossy.takeOver();
			JobSubmission job = lossy.submit("job-1", 0,
					VirtualWorld.withTraits(VirtualWorld.step(8, 1000, 1000), LONG_RUNNING));
			lossy.clock.runFor(2000);
			lossy.unanswered = 0.3;
			lossy.loseLeader();
			lossy.cancel(job.id());
			long sentAt = lossy.clock.now();
			lossy.clock.runFor(ELECTION_MILLIS);
			lossy.takeOver();
			while (!lossy.scheduler.stopGuaranteed(job.id()) && lossy.clock.now() - sentAt <= MAX_WAIT_MILLIS) {
				lossy.clock.runFor(10);
			}
			late += (lossy.clock.now() - sentAt > MAX_WAIT_MILLIS) ? 1 : 0;
		}
		assertThat(late).isLessThanOrEqualTo(LOSSES / 10);
	}

	@Test
	void noRunOutlastsAGuaranteeOnAVmThatOnlyTheLostLeaderReached() {
		for (long lostAfter = 0; lostAfter < 1000; lostAfter += 50) {
			VirtualWorld cut = new VirtualWorld(1);
			cut.addWorker("w0");
			cut.takeOver();
			JobSubmission job = cut.submit("job-1", 0,
					VirtualWorld.withTraits(VirtualWorld.step(4, 1000, 1000), LONG_RUNNING));
			cut.clock.runFor(2000 + lostAfter);
			cut.workers.get("w0").partitioned = true;
			cut.loseLeader();
			cut.cancel(job.id());
			cut.clock.runFor(ELECTION_MILLIS);
			cut.takeOver();
			long sentAt = cut.clock.now() - ELECTION_MILLIS;
			while (!cut.scheduler.stopGuaranteed(job.id())) {
				cut.clock.runFor(10);
			}
			assertThat(cut.clock.now() - sentAt).isLessThanOrEqualTo(MAX_WAIT_MILLIS);
			cut.clock.runFor(MAX_RUN_MILLIS);
			assertThat(cut.workers.get("w0").running).isEmpty();
		}
	}

	@Test
	void aCancellationWaitsForAnUnansweredStart() {
		this.world.addWorker("w1");
		this.world.addWorker("w2");
		this.world.takeOver();
		this.world.clock.runFor(100);
		this.world.unanswered = 1;
		this.world.delayed = 1;
		JobSubmission job = submit(1);
		this.world.clock.runFor(200);
		this.world.cancel(job.id());
		this.world.clock.runFor(400);
		assertThat(guaranteed(job)).isFalse();
		this.world.unanswered = 0;
		this.world.clock.runFor(700);
		assertThat(guaranteed(job)).isTrue();
		loseLeaderForGood();
		assertThat(running()).isZero();
	}

	@Test
	void aSilentVmDelaysTheGuaranteeUntilItsLeaseEndsInTime() {
		JobSubmission job = start(2, 4);
		VirtualWorker silent = workerWithRuns();
		silent.partitioned = true;
		this.world.cancel(job.id());
		this.world.clock.runFor(2500);
		assertThat(guaranteed(job)).isFalse();
		awaitGuarantee(job, MAX_WAIT_MILLIS - 2500);
		assertThat(silent.running).isNotEmpty();
		loseLeaderForGood();
		assertThat(running()).isZero();
	}

	@Test
	void aSuccessorGuaranteesNothingBeforeTheVmsHaveReported() {
		JobSubmission job = start(3, 6);
		this.world.loseLeader();
		this.world.cancel(job.id());
		this.world.clock.runFor(1000);
		this.world.takeOver();
		assertThat(guaranteed(job)).isFalse();
		this.world.clock.runFor(50);
		assertThat(guaranteed(job)).isTrue();
		loseLeaderForGood();
		assertThat(running()).isZero();
	}

	@Test
	void aSuccessorStopsTheTasksOfAJobThatItsPredecessorEnded() {
		JobSubmission job = start(2, 4);
		VirtualWorker silent = workerWithRuns();
		silent.partitioned = true;
		this.world.cancel(job.id());
		this.world.clock.runFor(200);
		assertThat(guaranteed(job)).isFalse();
		this.world.takeOver();
		this.world.clock.runFor(200);
		assertThat(guaranteed(job)).isFalse();
		silent.heal();
		awaitGuarantee(job, 500);
		loseLeaderForGood();
		assertThat(running()).isZero();
	}

	@Test
	void aSuccessorNeedNotHearFromAllVmsOnceAllRunsAreReported() {
		JobSubmission job = start(3, 1);
		VirtualWorker idle = this.world.workers.values()
			.stream()
			.filter((worker) -> worker.running.isEmpty())
			.findFirst()
			.get();
		idle.partitioned = true;
		this.world.takeOver();
		this.world.cancel(job.id());
		awaitGuarantee(job, 1000);
		loseLeaderForGood();
		assertThat(running()).isZero();
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20 })
	void noRunOutlastsTheGuaranteeAlthoughTheLeaderIsLostAtOnce(long seed) {
		VirtualWorld faulty = new VirtualWorld(seed);
		for (int i = 0; i < 6; i++) {
			faulty.addWorker("w" + i).clockRate = 0.98 + 0.02 * faulty.random.nextDouble();
		}
		faulty.takeOver();
		faulty.unanswered = 0.1;
		faulty.delayed = 0.5;
		for (int round = 0; round < 12; round++) {
			JobSubmission job = faulty.submit("job-" + round, 0,
					VirtualWorld.withTraits(VirtualWorld.step(6, 1000, 1000), LONG_RUNNING));
			faulty.clock.runFor(300 + faulty.random.nextInt(900));
			faulty.workers.values().forEach((worker) -> worker.partitioned = faulty.random.nextInt(6) == 0);
			faulty.clock.runFor(faulty.random.nextInt(700));
			if (faulty.random.nextBoolean()) {
				faulty.takeOver();
			}
			faulty.cancel(job.id());
			if (faulty.random.nextInt(3) == 0) {
				faulty.clock.runFor(faulty.random.nextInt(100));
				faulty.takeOver();
			}
			for (int i = 0; i < 500 && !faulty.scheduler.stopGuaranteed(job.id()); i++) {
				faulty.clock.runFor(20);
			}
			assertThat(faulty.scheduler.stopGuaranteed(job.id())).isTrue();
			faulty.loseLeader();
			faulty.clock.runFor(MAX_RUN_MILLIS);
			for (VirtualWorker worker : faulty.workers.values()) {
				assertThat(worker.running.keySet()).noneMatch((task) -> task.job().equals(job.id()));
				worker.heal();
			}
			faulty.takeOver();
		}
	}

	private JobSubmission start(int workers, int tasks) {
		for (int i = 0; i < workers; i++) {
			this.world.addWorker("w" + i);
		}
		this.world.takeOver();
		JobSubmission job = submit(tasks);
		this.world.clock.runFor(2000);
		assertThat(running()).isEqualTo(tasks);
		return job;
	}

	private VirtualWorker workerWithRuns() {
		return this.world.workers.values().stream().filter((worker) -> !worker.running.isEmpty()).findFirst().get();
	}

	private JobSubmission submit(int tasks) {
		return this.world.submit("job-1", 0,
				VirtualWorld.withTraits(VirtualWorld.step(tasks, 1000, 1000), LONG_RUNNING));
	}

	private boolean guaranteed(JobSubmission job) {
		return this.world.scheduler.stopGuaranteed(job.id());
	}

	private void awaitGuarantee(JobSubmission job, long maxMillis) {
		for (long waited = 0; waited < maxMillis && !guaranteed(job); waited += 20) {
			this.world.clock.runFor(20);
		}
		assertThat(guaranteed(job)).isTrue();
	}

	private void loseLeaderForGood() {
		this.world.loseLeader();
		this.world.clock.runFor(MAX_RUN_MILLIS);
	}

	private int running() {
		return this.world.workers.values().stream().mapToInt((worker) -> worker.running.size()).sum();
	}

}
