package io.lentilstream.requests;

import java.time.Duration;
import java.util.List;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

import io.lentilstream.model.Urgency;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against sequences of events that break an invariant of {@link SchedulerFixture}
 * or leave a request without a final action.
 */
class RequestSequencesTests {

	private static final long LONGEST_TIMEOUT_MILLIS = 500;

	@Property(tries = 400, seed = "20261204")
	void preservesTheInvariantsAndCompletesEveryRequest(@ForAll("events") List<Event> events) {
		SchedulerFixture fixture = new SchedulerFixture();
		fixture
			.withPolicy(new ServicePolicy(SchedulerFixture.SERVICE, SchedulerFixture.SERVICE, Urgency.URGENT, 1, 1,
					true, false, 8, 0.5, true, Duration.ofMillis(10)))
			.withEndpoints(3, 2, 4);
		int offered = 0;
		int cancelled = 0;
		for (Event event : events) {
			cancelled += apply(fixture, event, offered);
			offered += (event.kind < 8) ? 1 : 0;
		}
		fixture.advance(LONGEST_TIMEOUT_MILLIS);
		fixture.advance(RequestDefaults.defaults().slotReleaseDelay().toMillis());
		assertThat(fixture.scheduler.isIdle()).isTrue();
		assertThat(fixture.snapshot().inFlight()).isZero();
		assertThat(fixture.finalActions).hasSize(offered - cancelled);
	}

	private static int apply(SchedulerFixture fixture, Event event, int offered) {
		switch (event.kind) {
			case 0, 1, 2, 3, 4, 5, 6, 7 -> fixture.offer(offered, (event.kind < 5) ? Urgency.URGENT : Urgency.BATCH,
					1 + event.pick % LONGEST_TIMEOUT_MILLIS, event.pick % 4 != 0);
			case 8, 9, 10, 11, 12, 13 -> completeRandomAttempt(fixture, event);
			case 14, 15, 16 -> fixture.advance(event.pick % 40);
			case 17 -> fixture.setLeaving(1 + event.pick % 3, event.pick % 2 == 0);
			case 18 -> fixture.reportPeer(event.pick % 3, (event.pick % 2 == 0) ? 0 : 5_000);
			default -> {
				int number = event.pick % Math.max(1, offered);
				boolean ends = offered > 0 && !fixture.finalActions.containsKey(SchedulerFixture.id(number))
						&& fixture.cancelledIds.add(number);
				fixture.cancel(number);
				return ends ? 1 : 0;
			}
		}
		return 0;
	}

	private static void completeRandomAttempt(SchedulerFixture fixture, Event event) {
		if (fixture.openAttempts.isEmpty()) {
			return;
		}
		RequestAction action = fixture.openAttempts.get(event.pick % fixture.openAttempts.size());
		int number = Integer.parseInt(action.request().value().substring(1));
		int attempt = SchedulerFixture.attempt(action);
		AttemptResult result = switch (event.kind) {
			case 8, 9, 10 -> new AttemptResult.Answered(attempt, event.pick % 7 == 0, 1_000_000L * event.pick);
			case 11 -> new AttemptResult.Refused(attempt, event.pick % 5 == 0);
			case 12 -> new AttemptResult.NotSent(attempt);
			default -> new AttemptResult.Broken(attempt);
		};
		fixture.completeAttempt(number, result);
		if (event.pick % 3 == 0) {
			fixture.completeAttempt(number, result);
		}
	}

	@Provide
	Arbitrary<List<Event>> events() {
		return Combinators.combine(Arbitraries.integers().between(0, 19), Arbitraries.integers().between(0, 1_000))
			.as(Event::new)
			.list()
			.ofMinSize(20)
			.ofMaxSize(150);
	}

	/**
	 * An event of a sequence.
	 *
	 * @param kind selects the type of the event
	 * @param pick selects the request, endpoint, time or result
	 */
	record Event(int kind, int pick) {
	}

}
