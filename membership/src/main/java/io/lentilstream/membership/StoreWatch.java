package io.lentilstream.membership;

import java.time.Duration;
import java.util.Optional;
import java.util.random.RandomGenerator;

import io.lentilstream.clients.StoreKey;
import io.lentilstream.membership.MembershipAction.ListStore;
import io.lentilstream.membership.MembershipAction.WatchStore;
import io.lentilstream.model.MonotonicTime;

/**
 * Decides when one prefix of the store is listed and watched, with at most one call
 * outstanding. Failed calls are retried with exponential backoff and jitter; the delay is
 * capped so that it does not grow with the length of an outage.
 */
final class StoreWatch {

	/**
	 * Time after which a list without an outcome counts as failed.
	 */
	private static final Duration LIST_TIMEOUT = Duration.ofSeconds(10);

	/**
	 * Time after the end of its wait at which a watch without an outcome counts as
	 * failed. Wait and timeout together must stay below the 3 s in which a change must be
	 * in force, since the reply that carries the change may be lost.
	 */
	private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(1);

	private final StoreKey prefix;

	private final MembershipTiming timing;

	private final RandomGenerator random;

	private long lastCallId;

	private long lastCallNanos = Long.MIN_VALUE;

	private boolean outstanding;

	private MonotonicTime callDeadline;

	private MonotonicTime nextCallAt;

	private MonotonicTime nextListAt;

	private int failures;

	private boolean listed;

	private boolean listRequired = true;

	private long storeRevision;

	StoreWatch(StoreKey prefix, MembershipTiming timing, RandomGenerator random) {
		this.prefix = prefix;
		this.timing = timing;
		this.random = random;
	}

	StoreKey prefix() {
		return this.prefix;
	}

	long lastCallNanos() {
		return this.lastCallNanos;
	}

	boolean isListed() {
		return this.listed;
	}

	/**
	 * Starts the call that is due.
	 * @param now the time
	 * @param watching whether this process watches the store
	 * @param ready whether a complete set of settings is in force
	 * @param watchAllowed whether the minimum interval between watches has passed
	 * @return the call, or empty if none is due
	 */
	Optional<MembershipAction> startDueCall(MonotonicTime now, boolean watching, boolean ready, boolean watchAllowed) {
		if (this.outstanding && now.isAfter(this.callDeadline)) {
			callFailed(now);
		}
		boolean retryPending = this.nextCallAt != null && now.isBefore(this.nextCallAt);
		if (this.outstanding || retryPending || !(watching || !ready)) {
			return Optional.empty();
		}
		if (this.listRequired || (watching && !now.isBefore(this.nextListAt))) {
			return Optional.of(list(now));
		}
		return (watching && watchAllowed) ? Optional.of(watch(now)) : Optional.empty();
	}

	/**
	 * Ends the outstanding call.
	 * @param callId the id of the call that has an outcome
	 * @return whether it was the outstanding call; outcomes of other calls are ignored
	 */
	boolean endCall(long callId) {
		if (!this.outstanding || callId != this.lastCallId) {
			return false;
		}
		this.outstanding = false;
		return true;
	}

	void listSucceeded(MonotonicTime now, long revision) {
		resetRetryDelay();
		this.listed = true;
		this.listRequired = false;
		this.storeRevision = revision;
		// Jitter keeps the watchers of all zones from reading everything at once.
		long interval = this.timing.relistInterval().toMillis();
		this.nextListAt = now.plusMillis(interval + this.random.nextLong(interval / 4 + 1));
	}

	void watchSucceeded(long revision) {
		resetRetryDelay();
		this.storeRevision = revision;
	}

	void watchCompacted() {
		this.listRequired = true;
	}

	void callFailed(MonotonicTime now) {
		this.outstanding = false;
		long delay = Math.min(this.timing.maxRetryDelay().toMillis(),
				this.timing.initialRetryDelay().toMillis() << Math.min(this.failures, 10));
		this.failures++;
		this.nextCallAt = now.plusMillis(delay / 2 + this.random.nextLong(delay / 2 + 1));
	}

	private void resetRetryDelay() {
		this.failures = 0;
		this.nextCallAt = null;
	}

	private MembershipAction list(MonotonicTime now) {
		startCall(now, LIST_TIMEOUT);
		return new ListStore(this.lastCallId, this.prefix);
	}

	private MembershipAction watch(MonotonicTime now) {
		startCall(now, this.timing.maxWatchWait().plus(WATCH_TIMEOUT));
		return new WatchStore(this.lastCallId, this.prefix, this.storeRevision, this.timing.maxWatchWait());
	}

	private void startCall(MonotonicTime now, Duration timeout) {
		this.lastCallId++;
		this.outstanding = true;
		this.lastCallNanos = now.nanos();
		this.callDeadline = now.plus(timeout);
	}

}
