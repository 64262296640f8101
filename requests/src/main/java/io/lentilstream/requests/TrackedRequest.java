package io.lentilstream.requests;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.RequestId;
import io.lentilstream.model.Urgency;

/**
 * The state of a request from its arrival until its final action and the end of its
 * attempts. Guarded by the lock of its pool.
 */
final class TrackedRequest {

	/** Earliest deadline first, then order of arrival. */
	static final Comparator<TrackedRequest> BY_DEADLINE = (one, other) -> {
		int order = Long.signum(one.deadline - other.deadline);
		return (order != 0) ? order : Long.compare(one.sequence, other.sequence);
	};

	final RequestId id;

	final IncomingRequest request;

	final ServicePolicy policy;

	final Urgency urgency;

	final boolean repeatable;

	final RunTimeGroup group;

	final RetryBudget budget;

	final TeamQueue team;

	final long deadline;

	final long sequence;

	final List<Attempt> openAttempts = new ArrayList<>(1);

	final List<Endpoint> avoidedEndpoints = new ArrayList<>(0);

	TimerQueue.Timer deadlineTimer;

	boolean queued;

	boolean closed;

	/**
	 * Whether an endpoint may have run the request, so that it must not be reported as
	 * "not run".
	 */
	boolean mayHaveRun;

	int peerRefusals;

	int attemptCount;

	int brokenAttempts;

	boolean hedged;

	int endpointRefusals;

	TrackedRequest(IncomingRequest request, ServicePolicy policy, RunTimeGroup group, RetryBudget budget,
			TeamQueue team, long sequence) {
		this.id = request.id();
		this.request = request;
		this.policy = policy;
		this.urgency = effectiveUrgency(request, policy);
		this.repeatable = request.repeatable() && policy.repeatable();
		this.group = group;
		this.budget = budget;
		this.team = team;
		this.deadline = request.deadline().nanos();
		this.sequence = sequence;
	}

	static Urgency effectiveUrgency(IncomingRequest request, ServicePolicy policy) {
		return (request.urgency().compareTo(policy.urgency()) > 0) ? request.urgency() : policy.urgency();
	}

	MonotonicTime deadlineTime() {
		return this.request.deadline();
	}

	boolean isUrgent() {
		return this.urgency == Urgency.URGENT;
	}

	Attempt openAttempt(int number) {
		for (Attempt attempt : this.openAttempts) {
			if (attempt.number == number) {
				return attempt;
			}
		}
		return null;
	}

	boolean awaitsResult() {
		for (Attempt attempt : this.openAttempts) {
			if (attempt.awaitingResult) {
				return true;
			}
		}
		return false;
	}

}
