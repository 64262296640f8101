package io.lentilstream.control.leadership;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

import io.lentilstream.control.EventLoop;
import io.lentilstream.control.store.Commit;
import io.lentilstream.control.store.MetadataStore;
import io.lentilstream.control.store.StoreReply;
import io.lentilstream.control.store.StoredItem;
import io.lentilstream.jobs.DecisionLog;

/**
 * Elects the process that drives the jobs. The leader holds an item under a lease of the
 * store; the revision at which the item was created is the fencing token of its orders.
 */
public final class Leadership {

	/** The item that the leader holds. */
	public static final String LEADER_KEY = "lentilstream/leader";

	private static final String TERM_KEY = "lentilstream/term";

	/** How long the lease lasts without renewal, in milliseconds. */
	private static final long TTL_MILLIS = 2000;

	/**
	 * How long a leader may believe in its lease after its successor was elected, in
	 * milliseconds, because its item was taken away right after a renewal; with a margin
	 * for orders on their way.
	 */
	public static final long OVERLAP_MILLIS = TTL_MILLIS + 500;

	/** Time between renewals, in milliseconds. */
	private static final long RENEW_MILLIS = 500;

	/** Time between two looks for a leader, in milliseconds. */
	private static final long LOOK_MILLIS = 250;

	private final EventLoop loop;

	private final MetadataStore store;

	private final DecisionLog log;

	private final RandomGenerator random;

	private final Candidate candidate;

	private final Listener listener;

	/** Time until the next look after the own lease was ended, in milliseconds. */
	private static final long LOOK_OWN_MILLIS = 20;

	private State state = State.FOLLOWING;

	private LeaderRecord leader;

	private LeaderRecord claim;

	private long lease;

	private long leaseValidUntil;

	private boolean looking;

	private boolean resigned;

	private long vacantSince = -1;

	/**
	 * Creates a follower that knows no leader.
	 * @param loop the event loop
	 * @param store the store
	 * @param log takes a line for each change
	 * @param random the source of nonces
	 * @param candidate this process
	 * @param listener is told of changes
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
	 * Looks for the leader, and becomes it if there is none. Looks until there is one.
	 */
	public void look() {
		if (this.looking || this.state != State.FOLLOWING) {
			return;
		}
		this.looking = true;
		this.store.read(LEADER_KEY, this::looked);
	}

	/**
	 * Returns the leader.
	 * @return the leader, or empty if none is known
	 */
	public Optional<LeaderRecord> leader() {
		return Optional.ofNullable(this.leader);
	}

	/**
	 * Tells whether this process leads.
	 * @return {@code true} if it does
	 */
	public boolean leading() {
		return this.state == State.LEADING;
	}

	/**
	 * Tells whether the lease of this leader has certainly not ended by itself.
	 * @return {@code true} if it was renewed in time
	 */
	public boolean leaseHeld() {
		return leading() && this.loop.now() < this.leaseValidUntil;
	}

	/**
	 * Gives the leadership up, for good if the process is about to end.
	 * @param reason why, for the log
	 * @param forGood whether this process must not lead again
	 */
	public void resign(String reason, boolean forGood) {
		this.resigned |= forGood;
		if (this.state == State.LEADING) {
			long ending = this.lease;
			lose(reason);
			this.store.endLease(ending,
					(reply) -> this.log.append("lease-ended", this.candidate.node(), "reply", reply));
		}
	}

	private void looked(StoreReply<StoredItem> reply) {
		this.looking = false;
		if (this.state != State.FOLLOWING) {
			return;
		}
		if (!(reply instanceof StoreReply.Ok<StoredItem> item)) {
			this.loop.after(LOOK_MILLIS, this::look);
			return;
		}
		if (item.value().exists()) {
			this.vacantSince = -1;
			follow(item.value());
			return;
		}
		this.leader = null;
		long now = this.loop.now();
		if (this.vacantSince < 0) {
			this.vacantSince = now;
		}
		if (this.resigned || now - this.vacantSince < this.candidate.hesitationMillis()) {
			this.loop.after(LOOK_MILLIS, this::look);
			return;
		}
		this.state = State.CAMPAIGNING;
		long sent = now;
		this.store.grantLease(TTL_MILLIS, (granted) -> granted(granted, sent));
	}

	private void follow(StoredItem item) {
		try {
			LeaderRecord record = LeaderRecord.decode(item.value());
			if (record.equals(this.claim)) {
				endOwn();
				return;
			}
			if (!record.equals(this.leader)) {
				this.log.append("leader-found", record.node(), "term", record.term(), "revision", item.revision());
			}
			this.leader = record;
			this.listener.following(record);
		}
		catch (IOException ex) {
			this.log.append("leader-unreadable", LEADER_KEY, "error", ex);
			this.loop.after(LOOK_MILLIS, this::look);
		}
	}

	// The item of a term that this process gave up while the store was away. Others would
	// wait for the end of its lease.
	private void endOwn() {
		this.log.append("own-lease-found", this.candidate.node(), "term", this.claim.term());
		this.store.endLease(this.lease, (reply) -> this.loop.after(LOOK_OWN_MILLIS, this::look));
	}

	private void granted(StoreReply<Long> reply, long sent) {
		if (!(reply instanceof StoreReply.Ok<Long> granted)) {
			again();
			return;
		}
		this.lease = granted.value();
		this.leaseValidUntil = sent + TTL_MILLIS;
		this.store.read(TERM_KEY, this::termRead);
	}

	private void termRead(StoreReply<StoredItem> reply) {
		if (!(reply instanceof StoreReply.Ok<StoredItem> item)) {
			again();
			return;
		}
		StoredItem stored = item.value();
		int term = stored.exists() ? Integer.parseInt(new String(stored.value(), StandardCharsets.US_ASCII)) + 1 : 0;
		this.claim = new LeaderRecord(this.candidate.node(), this.candidate.address(), term, this.random.nextLong());
		Commit commit = new Commit().require(LEADER_KEY, 0)
			.require(TERM_KEY, stored.exists() ? stored.revision() : 0)
			.write(LEADER_KEY, this.claim.encode(), this.lease)
			.write(TERM_KEY, Integer.toString(term).getBytes(StandardCharsets.US_ASCII), 0);
		this.store.commit(commit, this::claimed);
	}

	private void claimed(StoreReply<Long> reply) {
		if (reply instanceof StoreReply.Ok<Long> revision) {
			won(revision.value());
		}
		else if (reply instanceof StoreReply.Unknown<Long>) {
			this.store.read(LEADER_KEY, this::claimChecked);
		}
		else {
			again();
		}
	}

	// The claim may have been stored although its answer was lost.
	private void claimChecked(StoreReply<StoredItem> reply) {
		try {
			if (reply instanceof StoreReply.Ok<StoredItem> item && item.value().exists()
					&& LeaderRecord.decode(item.value().value()).equals(this.claim)) {
				won(item.value().createdRevision());
				return;
			}
		}
		catch (IOException ex) {
			this.log.append("leader-unreadable", LEADER_KEY, "error", ex);
		}
		again();
	}

	private void again() {
		this.state = State.FOLLOWING;
		this.loop.after(LOOK_MILLIS, this::look);
	}

	private void won(long token) {
		this.state = State.LEADING;
		this.leader = this.claim;
		this.vacantSince = -1;
		this.log.append("leadership-won", this.candidate.node(), "term", this.claim.term(), "token", token);
		this.listener.won(new Mandate(this.claim.term(), token, () -> this.leaseValidUntil));
		renewLater();
	}

	private void renewLater() {
		long mine = this.lease;
		this.loop.after(RENEW_MILLIS, () -> renew(mine));
	}

	private void renew(long mine) {
		if (this.state != State.LEADING || this.lease != mine) {
			return;
		}
		long sent = this.loop.now();
		if (sent > this.leaseValidUntil + this.candidate.graceMillis()) {
			lose("lease not renewed");
			return;
		}
		this.store.renewLease(mine, (reply) -> {
			if (this.state != State.LEADING || this.lease != mine) {
				return;
			}
			if (reply instanceof StoreReply.Ok<Long> ttl) {
				this.leaseValidUntil = sent + ttl.value();
			}
			else if (reply instanceof StoreReply.Gone<Long>) {
				lose("lease gone");
				return;
			}
			renewLater();
		});
	}

	private void lose(String reason) {
		this.state = State.FOLLOWING;
		this.leader = null;
		this.log.append("leadership-lost", this.candidate.node(), "reason", reason);
		this.listener.lost();
		look();
	}

	private enum State {

		FOLLOWING, CAMPAIGNING, LEADING

	}

	/**
	 * Describes this process as a candidate.
	 *
	 * @param node the name of the process
	 * @param address where it takes connections of its peers
	 * @param hesitationMillis how long it lets stronger processes go first, in
	 * milliseconds
	 * @param graceMillis how long it goes on without a renewed lease, in milliseconds
	 */
	public record Candidate(String node, InetSocketAddress address, long hesitationMillis, long graceMillis) {
	}

	/**
	 * Is the right to give orders.
	 *
	 * @param term the number of the term, from 0
	 * @param token the fencing token, higher than those of all earlier terms
	 * @param leaseValidUntil until when the lease was renewed, on the steady clock in
	 * milliseconds
	 */
	public record Mandate(int term, long token, LongSupplier leaseValidUntil) {
	}

	/**
	 * Is told of changes of the leadership.
	 */
	public interface Listener {

		/**
		 * This process leads from now on.
		 * @param mandate its right to give orders
		 */
		void won(Mandate mandate);

		/**
		 * This process does not lead any more.
		 */
		void lost();

		/**
		 * Another process leads.
		 * @param leader the leader
		 */
		void following(LeaderRecord leader);

	}

}
