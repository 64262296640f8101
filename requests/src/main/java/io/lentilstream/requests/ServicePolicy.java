package io.lentilstream.requests;

import java.time.Duration;
import java.util.Objects;

import io.lentilstream.model.Urgency;

/**
 * Holds what the team's settings say about the requests of one service.
 *
 * @param service the team and service
 * @param pool the service whose endpoints run the requests; the service itself unless
 * several teams share endpoints
 * @param urgency the highest urgency that a request of the service gets
 * @param weight the fair share of the team among the teams of the pool, above 0
 * @param quota the largest share of the slots owned here that the team may use, above 0
 * up to 1
 * @param repeatable whether a request may run more than once
 * @param spillAllowed whether requests may go to other availability zones
 * @param queueLimit requests of the service that may wait at this entry VM
 * @param retryBudget retries and hedges per first attempt, from 0 to 1
 * @param hedgingAllowed whether a slow attempt may get a second one beside it
 * @param expectedTime the run time that is assumed until run times are observed
 */
public record ServicePolicy(ServiceKey service, ServiceKey pool, Urgency urgency, double weight, double quota,
		boolean repeatable, boolean spillAllowed, int queueLimit, double retryBudget, boolean hedgingAllowed,
		Duration expectedTime) {

	public ServicePolicy {
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(pool, "pool");
		Objects.requireNonNull(urgency, "urgency");
		require(weight > 0, "weight must be above 0");
		require(quota > 0 && quota <= 1, "quota must be above 0 and at most 1");
		require(queueLimit >= 0, "queue limit must not be negative");
		require(retryBudget >= 0 && retryBudget <= 1, "retry budget must be from 0 to 1");
		require(!expectedTime.isNegative() && !expectedTime.isZero(), "expected time must be positive");
	}

	/**
	 * Returns the policy of a service without settings of its own.
	 * @param service the team and service
	 * @param urgency the urgency of its requests
	 * @param expectedTime the run time that is assumed until run times are observed
	 * @return a policy with the service's own endpoints, no quota and the default limits
	 */
	public static ServicePolicy of(ServiceKey service, Urgency urgency, Duration expectedTime) {
		return new ServicePolicy(service, service, urgency, 1, 1, urgency == Urgency.URGENT, false,
				RequestDefaults.QUEUE_LIMIT, RequestDefaults.RETRY_BUDGET, false, expectedTime);
	}

	private static void require(boolean condition, String message) {
		if (!condition) {
			throw new IllegalArgumentException(message);
		}
	}

}
