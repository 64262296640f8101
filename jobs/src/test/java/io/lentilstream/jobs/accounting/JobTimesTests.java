package io.lentilstream.jobs.accounting;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class JobTimesTests {

	@Test
	void phasesOfTheCriticalChainAddUpToTheTimeOfTheJob() {
		TaskTimer quick = completed(0, 10, 200);
		TaskTimer slow = new TaskTimer();
		slow.begin(TimePhase.ROOM, 0);
		slow.enter(TimePhase.STORING, 100);
		slow.enter(TimePhase.STARTING, 110);
		slow.enter(TimePhase.FULL, 150);
		slow.chargeRun(50, 0.3, 350);
		slow.end(400);
		TaskTimer second = completed(400, 450, 700);
		JobTimes times = JobTimes.of(List.of(new JobTimes.StepTimers(List.of(), List.of(quick, slow)),
				new JobTimes.StepTimers(List.of(0), List.of(second))), 9000);
		assertThat(times.chain()).hasToString("storing=10 room=150 starting=40 full=360 slowed=40 paced=100");
		assertThat(times.tailMillis()).isEqualTo(200);
	}

	@Test
	void lostRunCountsAsRepeatedUnlessItsWorkIsKept() {
		TaskTimer lost = lostAfter(300, false);
		assertThat(lost.times()).hasToString("room=60 again=290");
		TaskTimer kept = lostAfter(300, true);
		assertThat(kept.times()).hasToString("room=60 full=240 again=50");
	}

	@Test
	void timeBeyondMostOfTheStepCountsAsStraggling() {
		List<TaskTimer> tasks = List.of(completed(0, 0, 100), completed(0, 0, 100), completed(0, 0, 700));
		JobTimes times = JobTimes.of(List.of(new JobTimes.StepTimers(List.of(), tasks)), 700);
		assertThat(times.chain()).hasToString("full=150 straggling=550");
		assertThat(times.tailMillis()).isEqualTo(600);
	}

	@Test
	void incompleteStepCountsUpToTheEndOfItsJob() {
		TaskTimer waiting = new TaskTimer();
		waiting.begin(TimePhase.TAKEOVER, 100);
		waiting.enterWait(false, 400);
		JobTimes times = JobTimes.of(List.of(new JobTimes.StepTimers(List.of(), List.of(waiting)),
				new JobTimes.StepTimers(List.of(0), List.of(new TaskTimer()))), 1000);
		assertThat(times.chain()).hasToString("takeover=300 room=600");
	}

	private static TaskTimer completed(long released, long started, long ended) {
		TaskTimer timer = new TaskTimer();
		timer.begin(TimePhase.ROOM, released);
		timer.enter(TimePhase.FULL, started);
		timer.end(ended);
		return timer;
	}

	private static TaskTimer lostAfter(long millis, boolean checkpointed) {
		TaskTimer timer = new TaskTimer();
		timer.begin(TimePhase.ROOM, 0);
		timer.enter(TimePhase.STARTING, 10);
		timer.enter(TimePhase.FULL, 60);
		timer.enterWait(checkpointed, millis);
		timer.enter(TimePhase.STARTING, millis + 50);
		return timer;
	}

}
