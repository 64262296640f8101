package io.lentilstream.requests;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.RequestId;
import io.lentilstream.model.Urgency;

/**
 * Holds a request from its arrival until its final action and the end of its attempts.
 * Guarded by the lock of its pool.
 */
final class Ticket {

	/** Earliest deadline first; the order of arrival breaks ties. */
	static final Comparator<Ticket> BY_DEADLINE = (one, other) -> {
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

	final List<Attempt> open = new ArrayList<>(1);

	final List<Endpoint> avoided = new ArrayList<>(0);

	TimerQueue.Timer deadlineTimer;

	boolean queued;

	boolean closed;

	/**
	 * Whether an endpoint may have run the request, so that "not run" would be untrue.
	 */
	boolean mayHaveRun;

	int forwardRefusals;

	int attempts;

	int brokenAttempts;

	boolean hedged;

	int refusals;

	Ticket(IncomingRequest request, ServicePolicy policy, RunTimeGroup group, RetryBudget budget, TeamQueue team,
			long sequence) {
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

	Attempt attempt(int number) {
		for (Attempt attempt : this.open) {
			if (attempt.number == number) {
				return attempt;
			}
		}
		return null;
	}

	boolean awaitsResult() {
		for (Attempt attempt : this.open) {
			if (attempt.awaited) {
				return true;
			}
		}
		return false;
	}

}
