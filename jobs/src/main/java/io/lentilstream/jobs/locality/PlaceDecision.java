package io.lentilstream.jobs.locality;

/**
 * The decision on a task that has no room at its place.
 */
public sealed interface PlaceDecision {

	/**
	 * The task waits for its place.
	 *
	 * @param opening the opening for which it waits
	 * @param until when it gives up, in milliseconds
	 */
	record Wait(Opening opening, long until) implements PlaceDecision {
	}

	/**
	 * The task runs elsewhere.
	 *
	 * @param reason the reason
	 */
	record Leave(Reason reason) implements PlaceDecision {
	}

	/**
	 * The reason for which a task runs elsewhere.
	 */
	enum Reason {

		/** No run that ends would make room at the place. */
		NO_OPENING,

		/** The task ends earlier elsewhere. */
		LONGER_THAN_ELSEWHERE,

		/** The job would be late by waiting. */
		LATE_BY_WAITING,

		/** The wait has ended without room at the place. */
		EXPECTATION_MISSED

	}

}
