package io.lentilstream.shards.ownership;

import java.util.Optional;

import io.lentilstream.clients.LeaseId;
import io.lentilstream.clients.LeaseOutcome;
import io.lentilstream.model.MonotonicTime;

/**
 * Keeps the store lease of the process. The commit deadline counts from the time at which
 * a call was sent, since the store may have started the lease at any time after that.
 */
final class LeaseRenewer {

	private final OwnershipSettings settings;

	private LeaseId lease;

	private MonotonicTime commitDeadline;

	private MonotonicTime due;

	private long callId;

	private MonotonicTime sentAt;

	LeaseRenewer(OwnershipSettings settings, MonotonicTime start) {
		this.settings = settings;
		this.due = start;
	}

	Optional<LeaseId> lease() {
		return Optional.ofNullable(this.lease);
	}

	Optional<MonotonicTime> commitDeadline() {
		return Optional.ofNullable(this.commitDeadline);
	}

	boolean mayCommit(MonotonicTime now) {
		return this.commitDeadline != null && now.isBefore(this.commitDeadline);
	}

	Optional<MonotonicTime> dueAt() {
		return (this.callId != 0) ? Optional.empty() : Optional.of(this.due);
	}

	Optional<OwnershipAction> next(MonotonicTime now, long id) {
		if (this.callId != 0 || now.isBefore(this.due)) {
			return Optional.empty();
		}
		this.callId = id;
		this.sentAt = now;
		if (this.lease == null) {
			return Optional.of(new OwnershipAction.GrantLease(id, this.settings.leaseLength()));
		}
		return Optional.of(new OwnershipAction.RenewLease(id, this.lease));
	}

	/**
	 * Takes the outcome of a grant or renewal.
	 * @param now the present time
	 * @param id the id of the call
	 * @param outcome the outcome
	 * @return whether the lease lapsed
	 */
	boolean completed(MonotonicTime now, long id, LeaseOutcome outcome) {
		if (id != this.callId) {
			return false;
		}
		this.callId = 0;
		if (outcome instanceof LeaseOutcome.Granted granted) {
			this.lease = granted.lease();
			this.commitDeadline = this.sentAt.plus(this.settings.leaseLength())
				.plus(this.settings.safetyMargin().negated());
			this.due = this.sentAt.plus(this.settings.renewInterval());
			return false;
		}
		if (outcome instanceof LeaseOutcome.Lapsed) {
			boolean held = this.lease != null;
			this.lease = null;
			this.commitDeadline = null;
			this.due = now;
			return held;
		}
		this.due = now.plus(this.settings.retryInterval());
		return false;
	}

}
