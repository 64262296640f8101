package io.lentilstream.requests;

import java.time.Duration;
import java.util.Objects;

import io.lentilstream.model.Urgency;

/**
 * The settings of a team for the requests of one service.
 *
 * @param service the team and service
 * @param pool the service whose endpoints run the requests; the service itself unless
 * several teams share endpoints
 * @param urgency the highest urgency of the requests of the service
 * @param weight the fair share of the team among the teams of the pool, above 0
 * @param quota the maximum share of the slots owned here that the team may use, above 0
 * and at most 1
 * @param repeatable whether a request may run more than once
 * @param spillAllowed whether requests may be forwarded to other availability zones
 * @param queueLimit maximum of queued requests of the service at this entry VM
 * @param retryBudget retries and hedges allowed per first attempt, from 0 to 1
 * @param hedgingAllowed whether a slow attempt may be hedged by a concurrent one
 * @param expectedTime the run time assumed until run times have been observed
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
	 * Returns the default policy of a service.
	 * @param service the team and service
	 * @param urgency the urgency of its requests
	 * @param expectedTime the run time assumed until run times have been observed
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
