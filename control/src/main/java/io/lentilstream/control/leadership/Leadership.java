package io.lentilstream.control.leadership;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

import io.lentilstream.control.EventLoop;
import io.lentilstream.control.store.Commit;
import io.lentilstream.control.store.MetadataStore;
import io.lentilstream.control.store.StoreReply;
import io.lentilstream.control.store.StoredItem;
import io.lentilstream.jobs.DecisionLog;

/**
 * Leader election among the control processes. The leader owns an item that is bound to a
 * lease of the store; the revision at which the item was created is the fencing token of
 * its commands.
 */
public final class Leadership {

	/** Key of the item that the leader owns. */
	public static final String LEADER_KEY = "lentilstream/leader";

	private static final String TERM_KEY = "lentilstream/term";

	/** Time to live of the lease without renewal, in milliseconds. */
	private static final long TTL_MILLIS = 2000;

	/**
	 * How long a leader may still consider its lease valid after its successor was
	 * elected, in milliseconds. This happens if its item is deleted right after a
	 * renewal. Includes a margin for commands in transit.
	 */
	public static final long MAX_LEADER_OVERLAP_MILLIS = TTL_MILLIS + 500;

	/** Time between the starts of two renewals, in milliseconds. */
	private static final long RENEW_INTERVAL_MILLIS = 500;

	/** Time between two checks for a leader, in milliseconds. */
	private static final long LEADER_CHECK_MILLIS = 250;

	private final EventLoop loop;

	private final MetadataStore store;

	private final DecisionLog log;

	private final RandomGenerator random;

	private final Candidate candidate;

	private final Listener listener;

	/**
	 * Time between two attempts to end the lease during a shutdown, in milliseconds.
	 */
	private static final long RELEASE_RETRY_MILLIS = 100;

	/**
	 * Time until the next check after revoking the own lease, in milliseconds.
	 */
	private static final long OWN_LEASE_RECHECK_MILLIS = 20;

	/**
	 * How much longer there must be no leader before a process that is about to exit runs
	 * for leadership, in milliseconds. Any other that can lead does so earlier.
	 */
	private static final long EXITING_CANDIDACY_DELAY_MILLIS = 600;

	/**
	 * Minimum time until the exit for which a process runs for leadership, in
	 * milliseconds. Covers its start as the leader several times over.
	 */
	private static final long MIN_REMAINING_MILLIS = 1500;

	private State state = State.FOLLOWING;

	private LeaderRecord leader;

	private LeaderRecord claim;

	private long lease;

	private long leaseValidUntil;

	/**
	 * When the lease expires by the wall clock, which also runs while the machine is
	 * suspended.
	 */
	private long leaseValidUntilWallClock;

	private boolean checkInFlight;

	/** Whether a check is scheduled because the leader is lost. */
	private boolean recheckScheduled;

	private boolean resigned;

	/**
	 * When this process stops leading at the latest, because it is about to exit, on the
	 * steady clock.
	 */
	private long leadUntil = Long.MAX_VALUE;

	private boolean releaseInFlight;

	/** Whether the last leader has named this process as its successor. */
	private boolean named;

	private long leaderlessSince = -1;

	private final LeaseExpiryDetector leaseExpiry = new LeaseExpiryDetector();

	/** When a check last found a leader; -1 if none did. */
	private long leaderSeenAt = -1;

	/**
	 * Creates a follower without a known leader.
	 * @param loop the event loop
	 * @param store the store
	 * @param log receives a line for each change
	 * @param random the source of nonces
	 * @param candidate this process
	 * @param listener notified of changes
	 */
	public Leadership(EventLoop loop, MetadataStore store, DecisionLog log, RandomGenerator random, Candidate candidate,
			Listener listener) {
		this.loop = loop;
		this.store = store;
		this.log = log;
		this.random = random;
		this.candidate = candidate;
		this.listener = listener;
	}

	/**
	 * Reads the leader's item, and runs for leadership if there is none. Repeats the
	 * check until there is a leader. Does nothing if a check is in flight or this process
	 * is the leader.
	 */
	public void checkLeader() {
		if (this.checkInFlight || this.state != State.FOLLOWING) {
			return;
		}
		this.checkInFlight = true;
		long readAt = this.loop.now();
		this.store.read(LEADER_KEY, (reply) -> leaderRead(reply, readAt));
	}

	/**
	 * Runs for leadership if there is no leader, since the last one has named this
	 * process as its successor, or was this process and knows no other. It does so even
	 * if it is about to exit, unless that is imminent.
	 */
	public void succeed() {
		this.named = true;
		checkLeader();
	}

	/**
	 * Notes that the known leader cannot be reached, or has closed its connection.
	 */
	public void leaderLost() {
		this.leaseExpiry.lost(this.loop.now());
	}

	/**
	 * Notes that the known leader has answered.
	 */
	public void leaderAnswered() {
		this.leaseExpiry.answered();
	}

	/**
	 * Returns the known leader.
	 * @return the leader, or empty if none is known
	 */
	public Optional<LeaderRecord> leader() {
		return Optional.ofNullable(this.leader);
	}

	/**
	 * Returns whether this process is the leader.
	 * @return {@code true} if it does
	 */
	public boolean leading() {
		return this.state == State.LEADING;
	}

	/**
	 * Returns whether this process is the leader and its lease has certainly not expired.
	 * @return {@code true} if the lease was renewed in time
	 */
	public boolean leaseHeld() {
		return leading() && this.loop.now() < this.leaseValidUntil
				&& this.loop.wallClockMillis() < this.leaseValidUntilWallClock;
	}

	/**
	 * Resigns from leadership and revokes the lease, so that a successor need not wait
	 * for it to expire.
	 * @param reason the reason, for the log
	 * @param permanently whether this process must not run for leadership again, because
	 * it is about to exit
	 */
	public void resign(String reason, boolean permanently) {
		if (permanently) {
			this.resigned = true;
			handOver(reason);
		}
		else if (this.state == State.LEADING || this.state == State.RELEASING) {
			long heldLease = this.lease;
			stepDown(reason);
			this.store.revokeLease(heldLease,
					(reply) -> this.log.append("lease-ended", this.candidate.node(), "reply", reply));
		}
	}

	/**
	 * Limits the time in which this process leads, since it is about to exit. Until then
	 * a leader continues, and a follower runs for leadership only if there has been no
	 * leader for a while.
	 * @param until when it resigns permanently, on the steady clock in milliseconds
	 */
	public void leadOnlyUntil(long until) {
		this.leadUntil = until;
		this.loop.schedule(Math.max(0, until - this.loop.now()), () -> resign("shutdown", true));
	}

	/**
	 * Ends the lease, since another process is ready to lead. Does nothing if this
	 * process is not the leader.
	 * @param reason the reason, for the log
	 */
	public void handOver(String reason) {
		if (this.state != State.LEADING) {
			return;
		}
		this.state = State.RELEASING;
		this.log.append("leadership-releasing", this.candidate.node(), "reason", reason);
		this.listener.leadershipEnding();
		release(this.lease);
	}

	/**
	 * Returns whether this process holds no lease that keeps others from being elected.
	 * @return {@code false} while the store has not confirmed the end of the lease
	 */
	public boolean released() {
		return this.state == State.FOLLOWING && !this.releaseInFlight;
	}

	// Without retries, an election after an outage of the store would wait for the lease
	// to expire, and leases of tasks would expire meanwhile.
	private void release(long heldLease) {
		this.releaseInFlight = true;
		this.store.revokeLease(heldLease, (reply) -> {
			this.log.append("lease-ended", this.candidate.node(), "reply", reply);
			if (!(reply instanceof StoreReply.Ok<?> || reply instanceof StoreReply.Gone<?>)) {
				this.loop.schedule(RELEASE_RETRY_MILLIS, () -> release(heldLease));
				return;
			}
			this.releaseInFlight = false;
			if (this.state == State.RELEASING) {
				stepDown("lease ended");
			}
		});
	}

	private void leaderRead(StoreReply<StoredItem> reply, long readAt) {
		this.checkInFlight = false;
		if (this.state != State.FOLLOWING) {
			return;
		}
		if (!(reply instanceof StoreReply.Ok<StoredItem> item)) {
			this.loop.schedule(LEADER_CHECK_MILLIS, this::checkLeader);
			return;
		}
		if (item.value().exists()) {
			this.leaderlessSince = -1;
			this.leaderSeenAt = this.loop.now();
			this.named = false;
			follow(item.value(), readAt);
			return;
		}
		this.leader = null;
		long now = this.loop.now();
		if (this.leaderlessSince < 0) {
			this.leaderlessSince = now;
		}
		if (!mayRun(now)) {
			this.loop.schedule(LEADER_CHECK_MILLIS, this::checkLeader);
			return;
		}
		this.named = false;
		this.state = State.CAMPAIGNING;
		long sentAt = now;
		long wallClockSentAt = this.loop.wallClockMillis();
		this.store.grantLease(TTL_MILLIS, (granted) -> leaseGranted(granted, sentAt, wallClockSentAt));
	}

	private boolean mayRun(long now) {
		if (this.resigned || exiting() && now + MIN_REMAINING_MILLIS > this.leadUntil) {
			return false;
		}
		long delay = this.candidate.candidacyDelayMillis();
		if (exiting() && !this.named) {
			delay += EXITING_CANDIDACY_DELAY_MILLIS;
		}
		return now - this.leaderlessSince >= delay;
	}

	private boolean exiting() {
		return this.leadUntil != Long.MAX_VALUE;
	}

	private void follow(StoredItem item, long readAt) {
		try {
			LeaderRecord record = LeaderRecord.decode(item.value());
			if (record.equals(this.claim)) {
				revokeOwnLease();
				return;
			}
			if (!record.equals(this.leader)) {
				this.log.append("leader-found", record.node(), "term", record.term(), "revision", item.revision());
			}
			this.leader = record;
			if (record.node().equals(this.candidate.node())) {
				this.leaseExpiry.foundFormerIncarnation(record, readAt);
			}
			else {
				this.leaseExpiry.found(record, readAt);
			}
			this.listener.leaderFound(record);
			recheckIfLost();
		}
		catch (IOException ex) {
			this.log.append("leader-unreadable", LEADER_KEY, "error", ex);
			this.loop.schedule(LEADER_CHECK_MILLIS, this::checkLeader);
		}
	}

	// Connections to a machine that is frozen or off take longer to fail than the rest of
	// the lease takes.
	private void recheckIfLost() {
		if (this.leaseExpiry.leaseExpired() && !this.recheckScheduled) {
			this.recheckScheduled = true;
			this.loop.schedule(LEADER_CHECK_MILLIS, () -> {
				this.recheckScheduled = false;
				checkLeader();
			});
		}
	}

	// The item belongs to a term that this process gave up while the store was
	// unreachable. Without the revocation, others would wait for the lease to expire.
	private void revokeOwnLease() {
		this.log.append("own-lease-found", this.candidate.node(), "term", this.claim.term());
		this.store.revokeLease(this.lease, (reply) -> this.loop.schedule(OWN_LEASE_RECHECK_MILLIS, this::checkLeader));
	}

	private void leaseGranted(StoreReply<Long> reply, long sentAt, long wallClockSentAt) {
		if (!(reply instanceof StoreReply.Ok<Long> granted)) {
			abandonCampaign();
			return;
		}
		this.lease = granted.value();
		this.leaseValidUntil = sentAt + TTL_MILLIS;
		this.leaseValidUntilWallClock = wallClockSentAt + TTL_MILLIS;
		this.store.read(TERM_KEY, this::termRead);
	}

	private void termRead(StoreReply<StoredItem> reply) {
		if (!(reply instanceof StoreReply.Ok<StoredItem> item)) {
			abandonCampaign();
			return;
		}
		StoredItem stored = item.value();
		OptionalInt next = nextTerm(stored);
		if (next.isEmpty()) {
			// Numbers of runs follow from that of the term, so it must not be guessed.
			this.log.append("term-unreadable", TERM_KEY, "revision", stored.revision());
			abandonCampaign();
			return;
		}
		int term = next.getAsInt();
		this.claim = new LeaderRecord(this.candidate.node(), this.candidate.address(), term, this.random.nextLong());
		Commit commit = new Commit().require(LEADER_KEY, 0)
			.require(TERM_KEY, stored.exists() ? stored.revision() : 0)
			.write(LEADER_KEY, this.claim.encode(), this.lease)
			.write(TERM_KEY, Integer.toString(term).getBytes(StandardCharsets.US_ASCII), 0);
		this.store.commit(commit, this::claimCommitted);
	}

	private static OptionalInt nextTerm(StoredItem stored) {
		if (!stored.exists()) {
			return OptionalInt.of(0);
		}
		try {
			return OptionalInt.of(Integer.parseInt(new String(stored.value(), StandardCharsets.US_ASCII)) + 1);
		}
		catch (NumberFormatException ex) {
			return OptionalInt.empty();
		}
	}

	private void claimCommitted(StoreReply<Long> reply) {
		if (reply instanceof StoreReply.Ok<Long> revision) {
			becomeLeader(revision.value());
		}
		else if (reply instanceof StoreReply.Unknown<Long>) {
			this.store.read(LEADER_KEY, this::claimRead);
		}
		else {
			abandonCampaign();
		}
	}

	// The claim may have been stored although the reply was lost.
	private void claimRead(StoreReply<StoredItem> reply) {
		try {
			if (reply instanceof StoreReply.Ok<StoredItem> item && item.value().exists()
					&& LeaderRecord.decode(item.value().value()).equals(this.claim)) {
				becomeLeader(item.value().createdRevision());
				return;
			}
		}
		catch (IOException ex) {
			this.log.append("leader-unreadable", LEADER_KEY, "error", ex);
		}
		abandonCampaign();
	}

	private void abandonCampaign() {
		this.state = State.FOLLOWING;
		this.loop.schedule(LEADER_CHECK_MILLIS, this::checkLeader);
	}

	private void becomeLeader(long fencingToken) {
		if (this.resigned) {
			// The shutdown began while the claim was being stored.
			this.state = State.RELEASING;
			release(this.lease);
			return;
		}
		this.state = State.LEADING;
		this.leader = this.claim;
		long now = this.loop.now();
		this.log.append("leadership-won", this.candidate.node(), "term", this.claim.term(), "token", fencingToken,
				"leaderless-ms", now - this.leaderlessSince, "leader-seen-ms",
				(this.leaderSeenAt >= 0) ? now - this.leaderSeenAt : -1);
		this.leaderlessSince = -1;
		this.leaderSeenAt = now;
		this.listener.leadershipWon(new LeaderTerm(this.claim.term(), fencingToken, () -> this.leaseValidUntil,
				this.leaseExpiry.leaseExpired()));
		scheduleRenewal();
	}

	private void scheduleRenewal() {
		long renewedLease = this.lease;
		this.loop.schedule(RENEW_INTERVAL_MILLIS, () -> renew(renewedLease));
	}

	private void renew(long renewedLease) {
		if (this.state != State.LEADING || this.lease != renewedLease) {
			return;
		}
		long sentAt = this.loop.now();
		if (exiting() && sentAt > this.leaseValidUntil) {
			// A process that steps down may exit before the store is back, and would
			// leave its lease behind.
			resign("lease not renewed", true);
			return;
		}
		if (sentAt > this.leaseValidUntil + this.candidate.leaseGraceMillis()) {
			stepDown("lease not renewed");
			return;
		}
		long wallClockSentAt = this.loop.wallClockMillis();
		this.store.renewLease(renewedLease, (reply) -> {
			if (this.state != State.LEADING || this.lease != renewedLease) {
				return;
			}
			if (reply instanceof StoreReply.Ok<Long> ttl) {
				this.leaseValidUntil = Math.max(this.leaseValidUntil, sentAt + ttl.value());
				this.leaseValidUntilWallClock = wallClockSentAt + ttl.value();
			}
			else if (reply instanceof StoreReply.Gone<Long>) {
				stepDown("lease no longer exists");
			}
		});
		// Not after the reply, since a reply that is lost would take a third of the
		// lease.
		scheduleRenewal();
	}

	private void stepDown(String reason) {
		this.state = State.FOLLOWING;
		this.leader = null;
		this.log.append("leadership-lost", this.candidate.node(), "reason", reason);
		this.listener.leadershipLost();
		checkLeader();
	}

	private enum State {

		FOLLOWING, CAMPAIGNING, LEADING,

		/** This process is shutting down and ends its lease. */
		RELEASING

	}

	/**
	 * This process as a candidate for leadership.
	 *
	 * @param node the name of the process
	 * @param address the address on which it accepts connections from its peers
	 * @param candidacyDelayMillis how long there must be no leader before this process
	 * runs for leadership, in milliseconds
	 * @param leaseGraceMillis how long it continues as the leader after its lease expired
	 * without renewal, in milliseconds
	 */
	public record Candidate(String node, InetSocketAddress address, long candidacyDelayMillis, long leaseGraceMillis) {
	}

	/**
	 * A term of leadership that this process has won.
	 *
	 * @param term the number of the term, from 0
	 * @param fencingToken the fencing token, greater than those of all earlier terms
	 * @param leaseValidUntil returns when the lease expires unless renewed again, on the
	 * steady clock in milliseconds
	 * @param predecessorLeaseExpired whether the lease of the predecessor ran out
	 */
	public record LeaderTerm(int number, long fencingToken, LongSupplier leaseValidUntil,
			boolean predecessorLeaseExpired) {
	}

	/**
	 * A listener for changes of leadership.
	 */
	public interface Listener {

		/**
		 * Called when this process has become the leader.
		 * @param leaderTerm the term that it has won
		 */
		void leadershipWon(LeaderTerm leaderTerm);

		/**
		 * Called when this process starts to end its lease, because it is about to exit.
		 * A successor may be elected at any time from now on.
		 */
		void leadershipEnding();

		/**
		 * Called when this process is no longer the leader.
		 */
		void leadershipLost();

		/**
		 * Called whenever a check finds another process as the leader, also if it is the
		 * same as before.
		 * @param leader the leader
		 */
		void leaderFound(LeaderRecord leader);

	}

}
