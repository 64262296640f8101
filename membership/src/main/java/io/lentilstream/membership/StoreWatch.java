package io.lentilstream.membership;

import java.time.Duration;
import java.util.Optional;
import java.util.random.RandomGenerator;

import io.lentilstream.clients.StoreKey;
import io.lentilstream.membership.MembershipAction.ListStore;
import io.lentilstream.membership.MembershipAction.WatchStore;
import io.lentilstream.model.MonotonicTime;

/**
 * Decides when one prefix of the store is listed and watched. At most one call is
 * outstanding. Failed calls are retried after a delay with jitter, which has an upper
 * limit so that it does not grow with the length of an outage.
 */
final class StoreWatch {

	/**
	 * Time after which a list without any outcome counts as failed.
	 */
	private static final Duration LIST_TIMEOUT = Duration.ofSeconds(10);

	/**
	 * Time beyond its own wait after which a watch without any outcome counts as failed.
	 * With the wait it stays below the 3 s in which a change must be in force, since the
	 * answer that carries the change may be the one that is lost.
	 */
	private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(1);

	private final StoreKey prefix;

	private final MembershipTiming timing;

	private final RandomGenerator random;

	private long calls;

	private long lastCall = Long.MIN_VALUE;

	private boolean outstanding;

	private MonotonicTime callDeadline;

	private MonotonicTime nextCall;

	private MonotonicTime nextList;

	private int failures;

	private boolean listedOnce;

	private boolean mustList = true;

	private long storeRevision;

	StoreWatch(StoreKey prefix, MembershipTiming timing, RandomGenerator random) {
		this.prefix = prefix;
		this.timing = timing;
		this.random = random;
	}

	StoreKey prefix() {
		return this.prefix;
	}

	long lastCall() {
		return this.lastCall;
	}

	boolean isListed() {
		return this.listedOnce;
	}

	/**
	 * Returns the call that is due.
	 * @param now the time
	 * @param watching whether this process watches the store
	 * @param ready whether a complete set of settings is in force
	 * @param mayWatch whether the spacing of watches allows one now
	 * @return the call, or empty if none is due
	 */
	Optional<MembershipAction> tick(MonotonicTime now, boolean watching, boolean ready, boolean mayWatch) {
		if (this.outstanding && now.isAfter(this.callDeadline)) {
			failed(now);
		}
		boolean early = this.nextCall != null && now.isBefore(this.nextCall);
		if (this.outstanding || early || !(watching || !ready)) {
			return Optional.empty();
		}
		if (this.mustList || (watching && !now.isBefore(this.nextList))) {
			return Optional.of(list(now));
		}
		return (watching && mayWatch) ? Optional.of(watch(now)) : Optional.empty();
	}

	/**
	 * Processes the outcome of a call.
	 * @param call the number of the call
	 * @return whether it is the outstanding call; late outcomes of other calls change
	 * nothing here
	 */
	boolean ended(long call) {
		if (!this.outstanding || call != this.calls) {
			return false;
		}
		this.outstanding = false;
		return true;
	}

	void listed(MonotonicTime now, long revision) {
		succeeded();
		this.listedOnce = true;
		this.mustList = false;
		this.storeRevision = revision;
		// The spread keeps the watchers of all zones from reading everything at once.
		long interval = this.timing.relist().toMillis();
		this.nextList = now.plusMillis(interval + this.random.nextLong(interval / 4 + 1));
	}

	void watched(long revision) {
		succeeded();
		this.storeRevision = revision;
	}

	void compacted() {
		this.mustList = true;
	}

	void failed(MonotonicTime now) {
		this.outstanding = false;
		long pause = Math.min(this.timing.retryMax().toMillis(),
				this.timing.retryMin().toMillis() << Math.min(this.failures, 10));
		this.failures++;
		this.nextCall = now.plusMillis(pause / 2 + this.random.nextLong(pause / 2 + 1));
	}

	private void succeeded() {
		this.failures = 0;
		this.nextCall = null;
	}

	private MembershipAction list(MonotonicTime now) {
		startCall(now, LIST_TIMEOUT);
		return new ListStore(this.calls, this.prefix);
	}

	private MembershipAction watch(MonotonicTime now) {
		startCall(now, this.timing.watchWait().plus(WATCH_TIMEOUT));
		return new WatchStore(this.calls, this.prefix, this.storeRevision, this.timing.watchWait());
	}

	private void startCall(MonotonicTime now, Duration timeout) {
		this.calls++;
		this.outstanding = true;
		this.lastCall = now.nanos();
		this.callDeadline = now.plus(timeout);
	}

}
