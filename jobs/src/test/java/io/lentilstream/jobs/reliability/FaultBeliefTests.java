package io.lentilstream.jobs.reliability;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class FaultBeliefTests {

	private static final double USUAL_SHARE = 0.05;

	private final FaultBelief belief = new FaultBelief();

	@Test
	void oneFailureRaisesADoubtAndASecondConfirmsIt() {
		this.belief.recordEnd(true, USUAL_SHARE, 0);
		assertThat(this.belief.probability(0)).isBetween(0.1, 0.5);
		this.belief.recordEnd(true, USUAL_SHARE, 0);
		assertThat(this.belief.probability(0)).isGreaterThan(0.7);
	}

	@Test
	void aFailureAmongManySuccessesProvesNothing() {
		for (int run = 0; run < 10; run++) {
			this.belief.recordEnd(false, USUAL_SHARE, 0);
		}
		this.belief.recordEnd(true, USUAL_SHARE, 0);
		assertThat(this.belief.probability(0)).isLessThan(0.1);
	}

	@Test
	void aVmThatFailsFourTenthsOfItsRunsIsDoubtedWithinTenRuns() {
		double highest = 0;
		for (int run = 0; run < 10; run++) {
			this.belief.recordEnd(run % 5 < 2, USUAL_SHARE, 0);
			highest = Math.max(highest, this.belief.probability(0));
		}
		assertThat(highest).isGreaterThan(0.5);
	}

	@Test
	void failuresThatAreUsualForAQueueDiscreditNoVm() {
		for (int run = 0; run < 10; run++) {
			this.belief.recordEnd(true, 0.7, 0);
		}
		assertThat(this.belief.probability(0)).isLessThan(0.1);
	}

	@Test
	void evidenceIsForgotten() {
		this.belief.recordStall(0);
		this.belief.recordStall(0);
		assertThat(this.belief.probability(1000)).isGreaterThan(0.7);
		assertThat(this.belief.probability(30_000)).isLessThan(0.1);
	}

	@Test
	void theUsualShareFollowsABurstOfJobsThatAlwaysFail() {
		UsualFailureShare share = new UsualFailureShare();
		for (int run = 0; run < 100; run++) {
			share.recordEnd("q", run % 2 == 0);
		}
		assertThat(share.of("q")).isBetween(0.35, 0.55);
		assertThat(share.of("other")).isEqualTo(0.05);
	}

}
