package io.lentilstream.jobs.locality;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import io.lentilstream.jobs.locality.PlaceDecision.Leave;
import io.lentilstream.jobs.locality.PlaceDecision.Reason;
import io.lentilstream.jobs.locality.PlaceDecision.Wait;
import io.lentilstream.model.Resources;

import static org.assertj.core.api.Assertions.assertThat;

class PlaceWaitRuleTests {

	private static final long NOW = 10_000;

	private static final Resources SLOT = new Resources(1000, 100, 0);

	private final PlaceWaitRule rule = new PlaceWaitRule();

	@Test
	void aTaskWaitsForAnOpeningThatComesBeforeTheTimeLostElsewhere() {
		assertThat(this.rule.decide(question(20_000, false), opening(NOW + 200))).isInstanceOf(Wait.class);
		assertThat(this.rule.decide(question(20_000, false), opening(NOW + 1500)))
			.isEqualTo(new Leave(Reason.LONGER_THAN_ELSEWHERE));
	}

	@Test
	void aTaskWithoutExpectedOpeningLeaves() {
		assertThat(this.rule.decide(question(20_000, false), Optional.empty())).isEqualTo(new Leave(Reason.NO_OPENING));
	}

	@Test
	void aTaskWhoseJobWouldBeLateByWaitingLeaves() {
		assertThat(this.rule.decide(question(NOW + 1500, false), opening(NOW + 400)))
			.isEqualTo(new Leave(Reason.LATE_BY_WAITING));
	}

	@Test
	void aTaskThatIsOnlyInTimeAtItsPlaceWaits() {
		assertThat(this.rule.decide(question(NOW + 900, false), opening(NOW + 800))).isInstanceOf(Wait.class);
	}

	@Test
	void aTaskThatIsLateEitherWayTakesWhatCostsOthersLeast() {
		assertThat(this.rule.decide(question(PlaceQuestion.TOO_LATE, false), opening(NOW + 800)))
			.isEqualTo(new Leave(Reason.LONGER_THAN_ELSEWHERE));
		assertThat(this.rule.decide(question(PlaceQuestion.TOO_LATE, true), opening(NOW + 800)))
			.isInstanceOf(Wait.class);
	}

	@Test
	void aMissedExpectationDoesNotBeginTheWaitAnew() {
		PlaceWait wait = new PlaceWait(NOW - 500, NOW - 300, NOW, false);
		assertThat(this.rule.review(wait, question(20_000, false), opening(NOW + 100)))
			.isEqualTo(new Leave(Reason.EXPECTATION_MISSED));
		PlaceWait open = new PlaceWait(NOW - 500, NOW - 300, NOW + 150, false);
		assertThat(this.rule.review(open, question(20_000, false), opening(NOW + 100)))
			.isInstanceOfSatisfying(Wait.class, (longer) -> assertThat(longer.until()).isEqualTo(NOW + 150));
		assertThat(this.rule.review(open.abandon(), question(20_000, false), opening(NOW + 100)))
			.isInstanceOf(Leave.class);
	}

	@Test
	void eachClaimLeavesALaterOpeningToTheNextTask() {
		PlaceForecast forecast = new PlaceForecast();
		forecast.addVm("vm-1", Resources.NONE, List.of(new Release(NOW + 100, NOW + 100, SLOT)));
		Opening first = forecast.earliest(SLOT, (vm) -> true, NOW).orElseThrow();
		forecast.claim(first, SLOT, 700);
		assertThat(first.at()).isEqualTo(NOW + 100);
		assertThat(forecast.earliest(SLOT, (vm) -> true, NOW).orElseThrow().at()).isEqualTo(NOW + 800);
		assertThat(forecast.earliest(SLOT.plus(SLOT), (vm) -> true, NOW)).isEmpty();
		assertThat(forecast.earliest(SLOT, (vm) -> false, NOW)).isEmpty();
	}

	@Test
	void anOverdueRunIsExpectedToEndLaterTheLongerItHasLasted() {
		assertThat(ExpectedEnd.of(NOW - 500, 700, NOW)).isEqualTo(NOW + 200);
		assertThat(ExpectedEnd.of(NOW - 1000, 700, NOW)).isLessThan(ExpectedEnd.of(NOW - 2000, 700, NOW));
	}

	private static PlaceQuestion question(long latestStart, boolean contended) {
		return new PlaceQuestion(NOW, 1000, 1000, 2, latestStart, contended);
	}

	private static Optional<Opening> opening(long at) {
		return Optional.of(new Opening("vm-1", at, at));
	}

}
