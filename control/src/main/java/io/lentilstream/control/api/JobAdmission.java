package io.lentilstream.control.api;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

import io.lentilstream.control.peers.LeaderConnection;
import io.lentilstream.control.peers.PeerFrame;
import io.lentilstream.control.term.Term;
import io.lentilstream.jobs.JobCost;
import io.lentilstream.jobs.JobSubmission;

/**
 * Decides whether a job may be stored, so that all stored jobs together fit into the
 * memory of a leader. Half of the memory that is free is shared out among all processes,
 * so that small jobs need no further call. For a job that exceeds the share of its
 * process, the leader is asked to reserve room from the other half. Load pattern: more
 * jobs than the VMs can run for minutes, or few very large ones.
 */
public final class JobAdmission {

	/**
	 * The divisor of the share of all memory that a process may accept jobs for before it
	 * has heard of a leader.
	 */
	private static final int INITIAL_SHARE_DIVISOR = 32;

	/** The share that a leader tells that has not loaded the jobs yet. */
	private static final long UNKNOWN_SHARE = -1;

	private final LeaderConnection leaderConnection;

	private final Supplier<Optional<Term>> term;

	private final IntSupplier followers;

	private final long maxBytes;

	/** What is left of the share of this process, in bytes. */
	private long share;

	/** The cost of the jobs that are being stored, in bytes. */
	private long pending;

	/** Whether the leader, of an earlier version, shares out nothing. */
	private boolean unlimited;

	/**
	 * Creates an admission control.
	 * @param leaderConnection the connection to the leader
	 * @param term returns the term of this process, or empty if it is not leader
	 * @param followers returns the number of followers if this process is leader
	 * @param maxBytes the memory that all jobs together may take, in bytes
	 */
	public JobAdmission(LeaderConnection leaderConnection, Supplier<Optional<Term>> term, IntSupplier followers,
			long maxBytes) {
		this.leaderConnection = leaderConnection;
		this.term = term;
		this.followers = followers;
		this.maxBytes = maxBytes;
		this.share = maxBytes / INITIAL_SHARE_DIVISOR;
	}

	/**
	 * Replaces the share of this process.
	 * @param pong an answer of the leader
	 */
	public void leaderAnswered(PeerFrame pong) {
		OptionalLong received = pong.contentValue();
		this.unlimited = received.isEmpty();
		if (received.isPresent() && received.getAsLong() != UNKNOWN_SHARE) {
			this.share = Math.max(0, received.getAsLong() - this.pending);
		}
	}

	/**
	 * Returns the memory that each process may accept jobs for.
	 * @param leading the term of this process
	 * @return the share in bytes; negative if it is not known yet, so that each process
	 * goes on with what is left of its share
	 */
	public long shareOfEach(Term leading) {
		if (!leading.begun()) {
			return UNKNOWN_SHARE;
		}
		return leading.freeJobBytes() / 2 / (this.followers.getAsInt() + 1);
	}

	/**
	 * Tells whether a job can never be accepted.
	 * @param submission the job
	 * @return {@code true} if it alone is too large
	 */
	boolean exceedsLimit(JobSubmission submission) {
		return JobCost.bytes(submission) > this.maxBytes / 2;
	}

	/**
	 * Requests room for a job.
	 * @param submission the job
	 * @param callback receives whether the job may be stored; if so,
	 * {@link #submissionCompleted} has to be called later
	 */
	void request(JobSubmission submission, Consumer<Boolean> callback) {
		long cost = JobCost.bytes(submission);
		Optional<Term> leading = this.term.get().filter(Term::begun);
		if (leading.isPresent()) {
			// Jobs that are being stored are not known to the term yet.
			boolean fits = cost + this.pending <= shareOfEach(leading.get())
					|| leading.get().reserve(submission.id(), cost);
			grant(cost, fits, callback);
			return;
		}
		if (cost <= this.share || this.unlimited) {
			this.share -= Math.min(cost, this.share);
			grant(cost, true, callback);
			return;
		}
		this.leaderConnection.reserve(submission.id().value(), cost,
				(reply) -> grant(cost,
						reply.filter((frame) -> frame.kind() == PeerFrame.Kind.RESERVED)
							.filter((frame) -> frame.number() > 0)
							.isPresent(),
						callback));
	}

	private void grant(long cost, boolean granted, Consumer<Boolean> callback) {
		this.pending += granted ? cost : 0;
		callback.accept(granted);
	}

	/**
	 * Records that a submission for which there was room is stored or has failed.
	 * @param submission the job
	 */
	void submissionCompleted(JobSubmission submission) {
		this.pending -= JobCost.bytes(submission);
	}

}
