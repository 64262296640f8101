package io.lentilstream.requests.records;

import java.util.ArrayList;
import java.util.List;

import io.lentilstream.model.EndpointId;
import io.lentilstream.model.KindName;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.RequestId;
import io.lentilstream.model.RequestOutcome;

/**
 * The in-memory state of one record: its durable state and the current activity of this
 * owner. Only {@link #apply} changes the durable state, after a commit or in recovery.
 */
final class RecordState {

	private static final byte[] NONE = new byte[0];

	final RecordKey key;

	KindName kind;

	byte[] digest;

	byte[] body;

	Phase phase = Phase.NEW;

	EndpointId endpoint;

	RequestId attempt;

	RequestOutcome outcome;

	boolean cancelRequested;

	/** The number of attempts that broke under this owner. */
	int brokenAttempts;

	MonotonicTime keepUntil;

	Activity activity = Activity.NONE;

	MonotonicTime retryAt;

	MonotonicTime noReplyDeadline;

	PendingChange pendingChange;

	PendingChange rejectedChange;

	Timer timer;

	boolean requestSlotAfterCommit;

	boolean cancelAfterCommit;

	RecordState(RecordKey key) {
		this.key = key;
	}

	void apply(RecordEntry entry, MonotonicTime now) {
		if (entry instanceof RecordEntry.Accepted accepted) {
			this.kind = accepted.kind();
			this.digest = accepted.digest();
			this.body = accepted.body();
			this.phase = Phase.ACCEPTED;
			this.endpoint = null;
			this.attempt = null;
			this.outcome = null;
			this.cancelRequested = false;
			this.keepUntil = now.plusMillis(accepted.keepMillis());
		}
		else if (entry instanceof RecordEntry.Dispatching dispatching) {
			this.phase = Phase.DISPATCHING;
			this.endpoint = dispatching.endpoint();
			this.attempt = dispatching.attempt();
		}
		else if (entry instanceof RecordEntry.Returned) {
			this.phase = Phase.ACCEPTED;
			this.endpoint = null;
			this.attempt = null;
		}
		else if (entry instanceof RecordEntry.CancelRequested) {
			this.cancelRequested = true;
		}
		else if (entry instanceof RecordEntry.Answered answered) {
			RequestOutcome.Answered result = new RequestOutcome.Answered(answered.status(), answered.contentType(),
					answered.body());
			setOutcome(Phase.ANSWERED, result, now.plusMillis(answered.keepMillis()));
		}
		else if (entry instanceof RecordEntry.NotRun notRun) {
			setOutcome(Phase.NOT_RUN, new RequestOutcome.NotRun(notRun.reason(), 0),
					now.plusMillis(notRun.keepMillis()));
		}
		else if (entry instanceof RecordEntry.Unknown unknown) {
			this.endpoint = unknown.endpoint();
			this.attempt = unknown.attempt();
			setOutcome(Phase.UNKNOWN, new RequestOutcome.Unknown(unknown.attempt()),
					now.plusMillis(unknown.keepMillis()));
		}
	}

	/**
	 * Returns the entries that restore the durable state.
	 * @param now the present time
	 * @return the entries; none if the record has no durable state yet
	 */
	List<RecordEntry> toEntries(MonotonicTime now) {
		List<RecordEntry> entries = new ArrayList<>();
		if (this.phase == Phase.NEW) {
			return entries;
		}
		long keepMillis = keepMillis(now);
		entries.add(new RecordEntry.Accepted(this.key, this.kind, this.digest, this.body, keepMillis));
		switch (this.phase) {
			case DISPATCHING -> entries.add(new RecordEntry.Dispatching(this.key, this.endpoint, this.attempt));
			case ANSWERED -> {
				RequestOutcome.Answered answer = (RequestOutcome.Answered) this.outcome;
				entries.add(new RecordEntry.Answered(this.key, answer.status(), answer.contentType(), answer.body(),
						keepMillis));
			}
			case NOT_RUN -> entries
				.add(new RecordEntry.NotRun(this.key, ((RequestOutcome.NotRun) this.outcome).reason(), keepMillis));
			case UNKNOWN -> entries.add(new RecordEntry.Unknown(this.key, this.endpoint, this.attempt, keepMillis));
			default -> {
			}
		}
		if (this.cancelRequested) {
			entries.add(new RecordEntry.CancelRequested(this.key));
		}
		return entries;
	}

	long keepMillis(MonotonicTime now) {
		return Math.max(0, now.millisUntil(this.keepUntil));
	}

	long storedBytes() {
		long answer = (this.outcome instanceof RequestOutcome.Answered answered) ? answered.body().length : 0;
		return this.body.length + answer;
	}

	boolean hasOutcome() {
		return this.phase == Phase.ANSWERED || this.phase == Phase.NOT_RUN || this.phase == Phase.UNKNOWN;
	}

	private void setOutcome(Phase newPhase, RequestOutcome newOutcome, MonotonicTime newKeepUntil) {
		this.phase = newPhase;
		this.outcome = newOutcome;
		this.keepUntil = newKeepUntil;
		this.body = NONE;
	}

	boolean isChangeDue(MonotonicTime now) {
		if (this.rejectedChange != null) {
			return true;
		}
		return this.phase != Phase.DISPATCHING && !now.isBefore(this.keepUntil);
	}

	/**
	 * Returns the time of the next retry or the expiry of the record.
	 * @return the time, or {@code null} if no timer is needed
	 */
	MonotonicTime dueAt() {
		if (this.pendingChange != null || this.phase == Phase.NEW) {
			return null;
		}
		if (this.rejectedChange != null || this.activity == Activity.LOOKING_UP || this.activity == Activity.SEALING) {
			return this.retryAt;
		}
		if (this.phase == Phase.DISPATCHING) {
			return null;
		}
		return (this.retryAt != null && this.retryAt.isBefore(this.keepUntil)) ? this.retryAt : this.keepUntil;
	}

	enum Phase {

		NEW, ACCEPTED, DISPATCHING, ANSWERED, NOT_RUN, UNKNOWN

	}

	enum Activity {

		NONE, WAITING, SENDING, LOOKING_UP, SEALING

	}

	/**
	 * An entry of the timer queue, ordered by time.
	 *
	 * @param time the time
	 * @param number sequence number that orders equal times
	 * @param record the record
	 */
	record Timer(MonotonicTime time, long number, RecordState record) implements Comparable<Timer> {

		@Override
		public int compareTo(Timer other) {
			int order = this.time.compareTo(other.time);
			return (order != 0) ? order : Long.compare(this.number, other.number);
		}

	}

	/**
	 * A change whose entries are not durable yet.
	 *
	 * @param step the id of the step
	 * @param entries the entries
	 * @param actions the actions to perform after the commit, kept for a retry
	 */
	record PendingChange(long step, List<RecordEntry> entries, List<RecordAction> actions) {
	}

}
