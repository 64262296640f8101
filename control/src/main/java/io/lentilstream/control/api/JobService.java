package io.lentilstream.control.api;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.lentilstream.control.EventLoop;
import io.lentilstream.control.peers.LeaderConnection;
import io.lentilstream.control.peers.PeerFrame;
import io.lentilstream.control.store.Commit;
import io.lentilstream.control.store.MetadataStore;
import io.lentilstream.control.store.StoreReply;
import io.lentilstream.control.store.StoredItem;
import io.lentilstream.control.term.JobKeys;
import io.lentilstream.control.term.SubmissionTombstone;
import io.lentilstream.control.term.Term;
import io.lentilstream.jobs.DecisionLog;
import io.lentilstream.jobs.JobCost;
import io.lentilstream.jobs.JobState;
import io.lentilstream.jobs.JobSubmission;
import io.lentilstream.jobs.codec.DecodeException;
import io.lentilstream.jobs.codec.ProgressCodec;
import io.lentilstream.jobs.codec.SubmissionCodec;
import io.lentilstream.model.Identifiers;
import io.lentilstream.model.JobId;

/**
 * Handles the requests of clients. Stores submissions and cancellations itself, and
 * requests the states of jobs from the leader, or reads them from the store while there
 * is no leader.
 */
public final class JobService {

	/**
	 * Maximum number of submissions remembered as recently stored, so that their state
	 * needs no read of the store, and of those remembered as unresolved.
	 */
	private static final int MAX_REMEMBERED_JOBS = 500;

	/**
	 * How long a stored submission needs no read, in milliseconds. Ended jobs are kept
	 * for 30 s and more.
	 */
	private static final long RECENTLY_STORED_MILLIS = 10_000;

	/** How often the commit of a cancellation is retried if there was no reply. */
	private static final int MAX_RETRIES = 3;

	/**
	 * The time from the arrival of a cancellation to its answer at the latest, in
	 * milliseconds. Covers the loss of a leader, and is below the 4 s in which
	 * cancellations have to be acknowledged.
	 */
	private static final long MAX_CANCELLATION_WAIT_MILLIS = 3800;

	/** Time for an answer to reach a caller before it leaves, in milliseconds. */
	private static final long ANSWER_MARGIN_MILLIS = 150;

	private final EventLoop loop;

	private final MetadataStore store;

	private final DecisionLog log;

	private final LeaderConnection leaderConnection;

	private final Supplier<Optional<Term>> term;

	private final SubmissionWriter submissionWriter;

	private final TombstoneWriter tombstoneWriter;

	private final CancellationConfirmer cancellationConfirmer;

	private final Map<JobId, Long> recentlyStored = new LinkedHashMap<>();

	/**
	 * Submissions that may have been stored and so must not be reported as refused.
	 */
	private final Map<JobId, Long> unresolved = new LinkedHashMap<>();

	private final QueuedCountCache queuedCounts = new QueuedCountCache();

	private final LongSupplier lastStoreReplyAt;

	private final JobAdmission admission;

	private final RetryAfterRule retryAfter = new RetryAfterRule();

	/**
	 * When storing a submission last failed, on the steady clock in milliseconds.
	 */
	private long storeFailedAt = Long.MIN_VALUE;

	/**
	 * Creates a service.
	 * @param dependencies the event loop, the store and the log
	 * @param leaderConnection the connection to the leader
	 * @param term returns the term of this process, or empty if it is not leader
	 * @param lastStoreReplyAt returns the time of the last reply of the store, on the
	 * steady clock in milliseconds
	 * @param admission decides whether there is memory for a job
	 */
	public JobService(Term.Dependencies dependencies, LeaderConnection leaderConnection, Supplier<Optional<Term>> term,
			LongSupplier lastStoreReplyAt, JobAdmission admission) {
		this.admission = admission;
		this.lastStoreReplyAt = lastStoreReplyAt;
		this.loop = dependencies.loop();
		this.store = dependencies.store();
		this.log = dependencies.log();
		this.leaderConnection = leaderConnection;
		this.term = term;
		this.submissionWriter = new SubmissionWriter(this.store);
		this.tombstoneWriter = new TombstoneWriter(this.loop, this.store);
		this.cancellationConfirmer = new CancellationConfirmer(this.loop, this::askLeader);
	}

	/**
	 * Submits a job.
	 * @param submission the job
	 * @param callback receives the outcome, once
	 */
	public void submit(JobSubmission submission, Consumer<SubmissionWriter.Outcome> callback) {
		long startedAt = this.loop.now();
		if (storeUnreachable()) {
			submitWithoutStore(submission, callback);
			return;
		}
		if (mayBeStored(submission.id())) {
			store(submission, startedAt, callback);
			return;
		}
		if (this.admission.exceedsLimit(submission)) {
			refuse(submission, SubmissionWriter.Outcome.TOO_LARGE, callback);
			return;
		}
		this.admission.request(submission, (granted) -> {
			if (!granted) {
				refuse(submission, SubmissionWriter.Outcome.NO_CAPACITY, callback);
				return;
			}
			store(submission, startedAt, (outcome) -> {
				this.admission.submissionCompleted(submission);
				callback.accept(outcome);
			});
		});
	}

	// A job that is stored already takes no further memory and must not be refused.
	private boolean mayBeStored(JobId job) {
		return storedRecently(job) || this.unresolved.containsKey(job) || this.submissionWriter.isPending(job);
	}

	// An earlier submission of the job may have been stored by another process.
	private void refuse(JobSubmission submission, SubmissionWriter.Outcome outcome,
			Consumer<SubmissionWriter.Outcome> callback) {
		this.store.read(JobKeys.submission(submission.id()), (reply) -> {
			boolean stored = reply instanceof StoreReply.Ok<StoredItem> item && item.value().exists()
					&& !SubmissionTombstone.isTombstone(item.value());
			SubmissionWriter.Outcome result = stored ? SubmissionWriter.Outcome.STORED : outcome;
			this.log.append("job-refused", submission.id(), "queue", submission.queue(), "reason",
					"accepted jobs take too much memory", "outcome", result, "cost-bytes", JobCost.bytes(submission));
			callback.accept(result);
		});
	}

	private void store(JobSubmission submission, long startedAt, Consumer<SubmissionWriter.Outcome> callback) {
		this.submissionWriter.store(submission, (result) -> {
			this.log.append("job-submitted", submission.id(), "queue", submission.queue(), "outcome", result, "took-ms",
					this.loop.now() - startedAt);
			if (result == SubmissionWriter.Outcome.STORED) {
				this.unresolved.remove(submission.id());
				remember(this.recentlyStored, submission.id());
				notifyLeader(submission);
				callback.accept(result);
				return;
			}
			if (result == SubmissionWriter.Outcome.TOO_LARGE) {
				callback.accept(result);
				return;
			}
			if (result == SubmissionWriter.Outcome.CANCELLED) {
				this.unresolved.remove(submission.id());
				callback.accept(result);
				return;
			}
			this.storeFailedAt = this.loop.now();
			if (result == SubmissionWriter.Outcome.UNKNOWN) {
				remember(this.unresolved, submission.id());
			}
			callback.accept(refusedUnlessUnresolved(submission.id()));
		});
	}

	/**
	 * Returns when a caller whose job was refused for lack of memory should retry.
	 * @param job the job
	 * @param priority the priority of its queue
	 * @return the delay in seconds
	 */
	public int retryAfterCapacitySeconds(JobId job, int priority) {
		return this.retryAfter.secondsWithoutCapacity(priority, job);
	}

	/**
	 * Returns when a caller whose job was refused should retry.
	 * @param job the job
	 * @param priority the priority of its queue
	 * @return the delay in seconds
	 */
	public int retryAfterSeconds(JobId job, int priority) {
		return this.retryAfter.seconds(this.loop.now() - this.lastStoreReplyAt.getAsLong(), priority, job);
	}

	// An earlier submission of the job may have been stored, by this process or another.
	private void submitWithoutStore(JobSubmission submission, Consumer<SubmissionWriter.Outcome> callback) {
		this.leaderConnection.request(PeerFrame.Kind.ASK_STATE, submission.id().value(), (frame) -> {
			boolean known = frame.filter((found) -> found.kind() == PeerFrame.Kind.STATE && found.number() >= 0)
				.isPresent();
			SubmissionWriter.Outcome result = known ? SubmissionWriter.Outcome.STORED
					: refusedUnlessUnresolved(submission.id());
			this.log.append("job-refused", submission.id(), "queue", submission.queue(), "reason",
					"store is unreachable", "outcome", result, "failed-ms", this.loop.now() - this.storeFailedAt);
			callback.accept(result);
		});
	}

	private SubmissionWriter.Outcome refusedUnlessUnresolved(JobId job) {
		return this.unresolved.containsKey(job) ? SubmissionWriter.Outcome.UNKNOWN : SubmissionWriter.Outcome.REFUSED;
	}

	// After a failed submission, all further ones are refused immediately until the store
	// replies again.
	private boolean storeUnreachable() {
		return this.storeFailedAt >= this.lastStoreReplyAt.getAsLong();
	}

	private void notifyLeader(JobSubmission submission) {
		Optional<Term> ownTerm = this.term.get();
		if (ownTerm.isPresent()) {
			ownTerm.get().jobSubmitted(submission);
			return;
		}
		this.leaderConnection.sendOneWay(new PeerFrame(PeerFrame.Kind.SUBMITTED, 0, submission.id().value(), 0,
				SubmissionCodec.encode(submission)));
	}

	private boolean storedRecently(JobId job) {
		Long storedAt = this.recentlyStored.get(job);
		return storedAt != null && this.loop.now() - storedAt < RECENTLY_STORED_MILLIS;
	}

	private void remember(Map<JobId, Long> jobs, JobId job) {
		jobs.put(job, this.loop.now());
		if (jobs.size() > MAX_REMEMBERED_JOBS) {
			jobs.remove(jobs.keySet().iterator().next());
		}
	}

	/**
	 * Looks up the state of a job.
	 * @param job the job
	 * @param callback receives the state
	 */
	public void state(JobId job, Consumer<StateResult> callback) {
		Optional<Term> ownTerm = this.term.get();
		if (ownTerm.isPresent()) {
			replyWithState(job, ownTerm.get().state(job), callback);
			return;
		}
		this.leaderConnection.request(PeerFrame.Kind.ASK_STATE, job.value(), (frame) -> {
			Optional<JobState> state = frame.filter((found) -> found.kind() == PeerFrame.Kind.STATE)
				.filter((found) -> found.number() >= 0 && found.number() < JobState.values().length)
				.map((found) -> JobState.values()[(int) found.number()]);
			replyWithState(job, state, callback);
		});
	}

	private void replyWithState(JobId job, Optional<JobState> state, Consumer<StateResult> callback) {
		if (state.isPresent()) {
			callback.accept(new StateResult.Known(state.get()));
			return;
		}
		this.store.read(JobKeys.progress(job), (reply) -> progressRead(job, reply, callback));
	}

	private void progressRead(JobId job, StoreReply<StoredItem> reply, Consumer<StateResult> callback) {
		if (!(reply instanceof StoreReply.Ok<StoredItem> item)) {
			callback.accept(new StateResult.Unavailable());
			return;
		}
		if (item.value().exists()) {
			try {
				callback.accept(new StateResult.Known(ProgressCodec.decode(job, item.value().value()).state()));
			}
			catch (DecodeException ex) {
				this.log.append("job-unreadable", job, "error", ex);
				callback.accept(new StateResult.Unavailable());
			}
			return;
		}
		if (storedRecently(job)) {
			callback.accept(new StateResult.Known(JobState.QUEUED));
			return;
		}
		this.store.read(JobKeys.submission(job), (submission) -> callback.accept(stateFromSubmission(submission)));
	}

	private static StateResult stateFromSubmission(StoreReply<StoredItem> reply) {
		if (!(reply instanceof StoreReply.Ok<StoredItem> item)) {
			return new StateResult.Unavailable();
		}
		boolean stored = item.value().exists() && !SubmissionTombstone.isTombstone(item.value());
		return stored ? new StateResult.Known(JobState.QUEUED) : new StateResult.NoSuchJob();
	}

	/**
	 * Cancels a job. The cancellation is acknowledged once the leader has made sure that
	 * the tasks stop, whatever happens to it afterwards. If there is no submission, the
	 * caller is told so once none can be stored any more.
	 * @param job the job
	 * @param callerLeavesAt when the caller stops waiting, on the steady clock in
	 * milliseconds; empty if it is not known
	 * @param callback receives the outcome, once
	 */
	public void cancel(JobId job, OptionalLong callerLeavesAt, Consumer<CancelResult> callback) {
		long now = this.loop.now();
		long latest = now + MAX_CANCELLATION_WAIT_MILLIS;
		long answerBy = Math.min(latest, callerLeavesAt.orElse(Long.MAX_VALUE) - ANSWER_MARGIN_MILLIS);
		PendingCancellation pending = new PendingCancellation(job, now, answerBy, callback);
		if (storedRecently(job)) {
			storeCancellation(pending, 0);
			return;
		}
		this.store.read(JobKeys.submission(job), (reply) -> {
			if (!(reply instanceof StoreReply.Ok<StoredItem> item)) {
				callback.accept(CancelResult.UNAVAILABLE);
			}
			else {
				cancelAsFound(pending, item.value(), 0);
			}
		});
	}

	private void cancelAsFound(PendingCancellation pending, StoredItem found, int retries) {
		if (found.exists() && !SubmissionTombstone.isTombstone(found)) {
			storeCancellation(pending, 0);
			return;
		}
		this.tombstoneWriter.write(pending.job(), found.revision(), (reply) -> {
			if (reply instanceof StoreReply.Ok<Long>) {
				reportNoSuchJob(pending, retries);
			}
			else if (reply instanceof StoreReply.Conflict<Long> conflict && !conflict.items().isEmpty()) {
				tombstoneConflicted(pending, conflict.items().get(0), retries);
			}
			else if (reply instanceof StoreReply.Unknown<Long> && retries < MAX_RETRIES
					&& this.loop.now() < pending.answerBy()) {
				cancelAsFound(pending, found, retries + 1);
			}
			else {
				pending.callback().accept(CancelResult.UNAVAILABLE);
			}
		});
	}

	private void tombstoneConflicted(PendingCancellation pending, StoredItem stored, int retries) {
		if (SubmissionTombstone.isTombstone(stored)) {
			// Stored by an attempt without a reply, or by another cancellation just now.
			reportNoSuchJob(pending, retries);
		}
		else if (stored.exists()) {
			storeCancellation(pending, 0);
		}
		else {
			pending.callback().accept(CancelResult.UNAVAILABLE);
		}
	}

	private void reportNoSuchJob(PendingCancellation pending, int repeats) {
		this.log.append("job-cancelled", pending.job(), "outcome", "NOT_SUBMITTED", "repeats", repeats, "took-ms",
				this.loop.now() - pending.receivedAt());
		pending.callback().accept(CancelResult.NO_SUCH_JOB);
	}

	private void storeCancellation(PendingCancellation pending, int retries) {
		Commit commit = new Commit().write(JobKeys.cancellation(pending.job()), new byte[] { 1 }, 0);
		this.store.commit(commit, (reply) -> {
			if (reply instanceof StoreReply.Ok<Long>) {
				confirmCancellation(pending, retries);
			}
			else if (reply instanceof StoreReply.Unknown<Long> && retries < MAX_RETRIES
					&& this.loop.now() < pending.answerBy()) {
				storeCancellation(pending, retries + 1);
			}
			else {
				pending.callback().accept(CancelResult.UNAVAILABLE);
			}
		});
	}

	private void confirmCancellation(PendingCancellation pending, int repeats) {
		long storedAt = this.loop.now();
		this.cancellationConfirmer.await(pending.job(), pending.answerBy(), (outcome) -> {
			long now = this.loop.now();
			this.log.append("job-cancelled", pending.job(), "outcome", outcome, "repeats", repeats, "stored-after-ms",
					storedAt - pending.receivedAt(), "took-ms", now - pending.receivedAt(), "leader", describeLeader());
			pending.callback()
				.accept((outcome == CancellationConfirmer.Outcome.GUARANTEED) ? CancelResult.CANCELLED
						: CancelResult.UNAVAILABLE);
		});
	}

	private void askLeader(JobId job, Consumer<Boolean> answer) {
		Optional<Term> ownTerm = this.term.get();
		if (ownTerm.isPresent()) {
			ownTerm.get().jobCancelled(job);
			answer.accept(ownTerm.get().cancellationGuaranteed(job));
			return;
		}
		this.leaderConnection.request(PeerFrame.Kind.CANCELLED, job.value(),
				(reply) -> answer.accept(reply.filter((frame) -> frame.kind() == PeerFrame.Kind.CANCELLATION_STATUS)
					.filter((frame) -> frame.number() > 0)
					.isPresent()));
	}

	private String describeLeader() {
		if (this.term.get().isPresent()) {
			return "this process";
		}
		return this.leaderConnection.connected() ? "connected" : "none";
	}

	/**
	 * Counts the jobs of a queue that have no started task.
	 * @param queue the name of the queue
	 * @param callback receives the number, or empty if it is unavailable
	 */
	public void queuedJobs(String queue, Consumer<Optional<Integer>> callback) {
		Optional<Integer> ownCount = this.term.get().flatMap((leading) -> leading.queuedJobs(queue));
		if (ownCount.isPresent()) {
			callback.accept(ownCount);
			return;
		}
		long askedAt = this.loop.now();
		this.leaderConnection.request(PeerFrame.Kind.ASK_PENDING, queue, (frame) -> {
			frame.filter((found) -> found.kind() == PeerFrame.Kind.PENDING)
				.ifPresent((found) -> this.queuedCounts.put(queue, (int) found.number(), askedAt));
			callback.accept(this.queuedCounts.find(queue, this.loop.now()));
		});
	}

	/**
	 * Handles a frame of a peer.
	 * @param frame the frame
	 * @return the reply, or {@code null} if it has none
	 */
	public PeerFrame handleFrame(PeerFrame frame) {
		if (frame.kind().aboutJob() && !Identifiers.isValid(frame.subject())) {
			this.log.append("job-unreadable", frame.subject(), "error", "invalid id in a frame " + frame.kind());
			return null;
		}
		Optional<Term> ownTerm = this.term.get();
		return switch (frame.kind()) {
			case ASK_STATE ->
				ownTerm.isEmpty() ? frame.reply(PeerFrame.Kind.NOT_LEADING, 0) : frame.reply(PeerFrame.Kind.STATE,
						ownTerm.get().state(new JobId(frame.subject())).map(JobState::ordinal).orElse(-1));
			case ASK_PENDING -> ownTerm.flatMap((leading) -> leading.queuedJobs(frame.subject()))
				.map((count) -> frame.reply(PeerFrame.Kind.PENDING, count))
				.orElseGet(() -> frame.reply(PeerFrame.Kind.NOT_LEADING, 0));
			case PING -> ownTerm
				.map((leading) -> frame.reply(PeerFrame.Kind.PONG, leading.leaseHeld() ? 1 : 0,
						this.admission.shareOfEach(leading)))
				.orElseGet(() -> frame.reply(PeerFrame.Kind.NOT_LEADING, 0));
			case SUBMITTED -> {
				ownTerm.ifPresent((leading) -> receiveSubmission(leading, frame));
				yield null;
			}
			case CANCELLED -> receiveCancellation(ownTerm, frame);
			case RESERVE -> ownTerm
				.map((leading) -> frame.reply(PeerFrame.Kind.RESERVED,
						leading.reserve(new JobId(frame.subject()), frame.number()) ? 1 : 0))
				.orElseGet(() -> frame.reply(PeerFrame.Kind.NOT_LEADING, 0));
			default -> null;
		};
	}

	private static PeerFrame receiveCancellation(Optional<Term> ownTerm, PeerFrame frame) {
		JobId job = new JobId(frame.subject());
		ownTerm.ifPresent((leading) -> leading.jobCancelled(job));
		if (frame.callId() == 0) {
			return null;
		}
		return ownTerm
			.map((leading) -> frame.reply(PeerFrame.Kind.CANCELLATION_STATUS,
					leading.cancellationGuaranteed(job) ? 1 : 0))
			.orElseGet(() -> frame.reply(PeerFrame.Kind.NOT_LEADING, 0));
	}

	private void receiveSubmission(Term leading, PeerFrame frame) {
		try {
			leading.jobSubmitted(SubmissionCodec.decode(new JobId(frame.subject()), frame.content()));
		}
		catch (DecodeException ex) {
			this.log.append("job-unreadable", frame.subject(), "error", ex);
		}
	}

	/**
	 * A cancellation that has not been answered.
	 *
	 * @param job the job
	 * @param receivedAt when the request arrived, on the steady clock in milliseconds
	 * @param answerBy when it is answered at the latest, on the steady clock in
	 * milliseconds
	 * @param callback receives the outcome, once
	 */
	private record PendingCancellation(JobId job, long receivedAt, long answerBy, Consumer<CancelResult> callback) {
	}

	/**
	 * The result of looking up the state of a job.
	 */
	public sealed interface StateResult {

		/**
		 * The state is known.
		 *
		 * @param state the state
		 */
		record Known(JobState state) implements StateResult {
		}

		/**
		 * The job does not exist.
		 */
		record NoSuchJob() implements StateResult {
		}

		/**
		 * The state could not be read from the leader or the store.
		 */
		record Unavailable() implements StateResult {
		}

	}

	/**
	 * The result of a cancellation.
	 */
	public enum CancelResult {

		/** The cancellation is stored, and the tasks certainly stop in time. */
		CANCELLED,

		/**
		 * The job does not exist, and no submission of it that is under way is stored.
		 */
		NO_SUCH_JOB,

		/**
		 * The cancellation could not be stored, or the leader has not confirmed in time
		 * that the tasks stop. It may still take effect.
		 */
		UNAVAILABLE

	}

}
