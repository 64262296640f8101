package io.lentilstream.control.api;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import io.lentilstream.control.EventLoop;
import io.lentilstream.control.store.Commit;
import io.lentilstream.control.store.MetadataStore;
import io.lentilstream.control.store.StoreReply;
import io.lentilstream.control.term.JobKeys;
import io.lentilstream.control.term.SubmissionTombstone;
import io.lentilstream.model.JobId;

/**
 * Stores tombstones for cancelled jobs that have no submission, so that a submission that
 * is still under way is not stored later. The store deletes them when their lease ends.
 * Load pattern: jobs are cancelled before their submissions have been answered.
 */
final class TombstoneWriter {

	/**
	 * The shortest time for which a tombstone is kept, in milliseconds. Callers repeat
	 * submissions, and the store carries out calls late, only seconds later.
	 */
	private static final long MIN_LIFETIME_MILLIS = 120_000;

	private static final long LEASE_MILLIS = 2 * MIN_LIFETIME_MILLIS;

	/**
	 * The largest number of tombstones under one lease, which bounds what callers that
	 * cancel unknown jobs can store.
	 */
	static final int MAX_PER_LEASE = 200;

	private final EventLoop loop;

	private final MetadataStore store;

	/** Writes that wait until a lease is granted. */
	private final List<PendingWrite> waiting = new ArrayList<>();

	private long lease;

	/** Until when new tombstones may use the lease, in steady milliseconds. */
	private long leaseUsableUntil = Long.MIN_VALUE;

	private int written;

	private boolean grantInFlight;

	TombstoneWriter(EventLoop loop, MetadataStore store) {
		this.loop = loop;
		this.store = store;
	}

	/**
	 * Stores a tombstone if there is no submission.
	 * @param job the cancelled job
	 * @param revision the revision of an earlier tombstone; 0 if there is none
	 * @param reply receives the reply of the store
	 */
	void write(JobId job, long revision, Consumer<StoreReply<Long>> reply) {
		if (!this.grantInFlight && this.loop.now() >= this.leaseUsableUntil) {
			requestLease();
		}
		if (this.written >= MAX_PER_LEASE) {
			reply.accept(new StoreReply.NotDone<>("too many cancellations of unknown jobs"));
			return;
		}
		this.written++;
		PendingWrite write = new PendingWrite(job, revision, reply);
		if (this.grantInFlight) {
			this.waiting.add(write);
			return;
		}
		commit(write);
	}

	private void requestLease() {
		this.grantInFlight = true;
		this.written = 0;
		long sentAt = this.loop.now();
		this.store.grantLease(LEASE_MILLIS, (granted) -> {
			this.grantInFlight = false;
			List<PendingWrite> writes = List.copyOf(this.waiting);
			this.waiting.clear();
			if (!(granted instanceof StoreReply.Ok<Long> id)) {
				writes.forEach((write) -> write.reply().accept(new StoreReply.NotDone<>("no lease is granted")));
				return;
			}
			this.lease = id.value();
			this.leaseUsableUntil = sentAt + MIN_LIFETIME_MILLIS;
			writes.forEach(this::commit);
		});
	}

	private void commit(PendingWrite write) {
		String key = JobKeys.submission(write.job());
		Commit commit = new Commit().require(key, write.revision()).write(key, SubmissionTombstone.value(), this.lease);
		this.store.commit(commit, (reply) -> {
			if (reply instanceof StoreReply.Gone<Long>) {
				this.leaseUsableUntil = Long.MIN_VALUE;
			}
			write.reply().accept(reply);
		});
	}

	/**
	 * A tombstone that is to be stored.
	 *
	 * @param job the cancelled job
	 * @param revision the revision that the item must have
	 * @param reply receives the reply of the store
	 */
	private record PendingWrite(JobId job, long revision, Consumer<StoreReply<Long>> reply) {
	}

}
