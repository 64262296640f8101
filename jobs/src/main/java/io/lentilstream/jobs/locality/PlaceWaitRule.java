package io.lentilstream.jobs.locality;

import java.util.Optional;

import io.lentilstream.jobs.locality.PlaceDecision.Leave;
import io.lentilstream.jobs.locality.PlaceDecision.Reason;
import io.lentilstream.jobs.locality.PlaceDecision.Wait;

/**
 * The rule that decides how long a task waits for a place near its data or its group:
 * while it is expected to end earlier there, but never if its job would be late by it.
 * Load pattern: many short tasks that want the same rack at the same time.
 */
public final class PlaceWaitRule {

	/**
	 * The share of an expected wait by which it may last longer.
	 */
	private static final double TOLERATED_SHARE = 0.5;

	/**
	 * The longest expected wait of a task whose job is late in any case, as a share of
	 * its run time, since it delays others that want the same place.
	 */
	private static final double LATE_WAIT_SHARE = 0.5;

	/** The least time by which a wait may last longer than expected, in milliseconds. */
	private static final long MIN_TOLERANCE_MILLIS = 50;

	/**
	 * Decides whether a task waits.
	 * @param question the facts about the task
	 * @param opening the earliest opening at its place, if one is expected
	 * @return the decision
	 */
	public PlaceDecision decide(PlaceQuestion question, Optional<Opening> opening) {
		if (opening.isEmpty()) {
			return new Leave(Reason.NO_OPENING);
		}
		long at = opening.get().at();
		long now = question.now();
		long breakEven = now + question.extraMillis();
		if (question.certainlyInTimeElsewhere(now)) {
			long lastResort = question.lastResort();
			long high = Math.max(opening.get().highAt(), high(at, now));
			if (high > lastResort) {
				return new Leave(Reason.LATE_BY_WAITING);
			}
			return (high < breakEven) ? new Wait(opening.get(), Math.min(breakEven, lastResort))
					: new Leave(Reason.LONGER_THAN_ELSEWHERE);
		}
		boolean inTimeElsewhere = question.inTime(breakEven);
		boolean inTimeHere = question.inTime(at);
		if (inTimeElsewhere && !inTimeHere) {
			return new Leave(Reason.LATE_BY_WAITING);
		}
		if (!inTimeElsewhere && (inTimeHere || question.contended())) {
			return new Wait(opening.get(), Math.max(breakEven, high(at, now)));
		}
		long paysUntil = inTimeElsewhere ? breakEven
				: Math.min(breakEven, now + (long) (LATE_WAIT_SHARE * question.workMillis()));
		return (at < paysUntil) ? new Wait(opening.get(), breakEven) : new Leave(Reason.LONGER_THAN_ELSEWHERE);
	}

	private static long high(long at, long now) {
		return at + Math.max(MIN_TOLERANCE_MILLIS, (long) (TOLERATED_SHARE * (at - now)));
	}

	/**
	 * Decides whether a task that waits goes on to wait. Its wait never gets longer.
	 * @param wait the wait
	 * @param question the facts about the task
	 * @param opening the earliest opening at its place, if one is expected
	 * @return the decision
	 */
	public PlaceDecision review(PlaceWait wait, PlaceQuestion question, Optional<Opening> opening) {
		if (wait.abandoned() || question.now() >= wait.until()) {
			return new Leave(Reason.EXPECTATION_MISSED);
		}
		PlaceDecision decision = decide(question, opening);
		return (decision instanceof Wait longer) ? new Wait(longer.opening(), Math.min(wait.until(), longer.until()))
				: decision;
	}

}
