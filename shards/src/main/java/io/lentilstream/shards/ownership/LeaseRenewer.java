package io.lentilstream.shards.ownership;

import java.util.Optional;

import io.lentilstream.clients.LeaseId;
import io.lentilstream.clients.LeaseOutcome;
import io.lentilstream.model.MonotonicTime;

/**
 * Obtains and renews the store lease of the process. The commit deadline is measured from
 * the time at which a call was sent, since the store may have started the lease at any
 * time after that.
 */
final class LeaseRenewer {

	private final OwnershipSettings settings;

	private LeaseId lease;

	private MonotonicTime commitDeadline;

	private MonotonicTime nextCallAt;

	private long pendingCallId;

	private MonotonicTime sentAt;

	LeaseRenewer(OwnershipSettings settings, MonotonicTime start) {
		this.settings = settings;
		this.nextCallAt = start;
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
		return (this.pendingCallId != 0) ? Optional.empty() : Optional.of(this.nextCallAt);
	}

	Optional<OwnershipAction> nextCall(MonotonicTime now, long id) {
		if (this.pendingCallId != 0 || now.isBefore(this.nextCallAt)) {
			return Optional.empty();
		}
		this.pendingCallId = id;
		this.sentAt = now;
		if (this.lease == null) {
			return Optional.of(new OwnershipAction.GrantLease(id, this.settings.leaseDuration()));
		}
		return Optional.of(new OwnershipAction.RenewLease(id, this.lease));
	}

	/**
	 * Processes the outcome of a grant or renewal.
	 * @param now the current time
	 * @param id the id of the call
	 * @param outcome the outcome
	 * @return whether a lease that this process had has lapsed
	 */
	boolean completed(MonotonicTime now, long id, LeaseOutcome outcome) {
		if (id != this.pendingCallId) {
			return false;
		}
		this.pendingCallId = 0;
		if (outcome instanceof LeaseOutcome.Granted granted) {
			this.lease = granted.lease();
			this.commitDeadline = this.sentAt.plus(this.settings.leaseDuration())
				.plus(this.settings.safetyMargin().negated());
			this.nextCallAt = this.sentAt.plus(this.settings.renewInterval());
			return false;
		}
		if (outcome instanceof LeaseOutcome.Lapsed) {
			boolean hadLease = this.lease != null;
			this.lease = null;
			this.commitDeadline = null;
			this.nextCallAt = now;
			return hadLease;
		}
		this.nextCallAt = now.plus(this.settings.retryInterval());
		return false;
	}

}
