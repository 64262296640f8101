package io.lentilstream.control.api;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.lentilstream.control.EventLoop;
import io.lentilstream.control.peers.LeaderLink;
import io.lentilstream.control.peers.PeerFrame;
import io.lentilstream.control.store.Commit;
import io.lentilstream.control.store.MetadataStore;
import io.lentilstream.control.store.StoreReply;
import io.lentilstream.control.store.StoredItem;
import io.lentilstream.control.term.JobKeys;
import io.lentilstream.control.term.Term;
import io.lentilstream.jobs.DecisionLog;
import io.lentilstream.jobs.JobState;
import io.lentilstream.jobs.JobSubmission;
import io.lentilstream.jobs.codec.DecodeException;
import io.lentilstream.jobs.codec.ProgressCodec;
import io.lentilstream.jobs.codec.SubmissionCodec;
import io.lentilstream.model.JobId;

/**
 * Does what callers ask: stores submissions and cancellations itself, and asks the leader
 * for states. While there is no leader, states come from the store.
 */
public final class JobService {

	/** Submissions that are remembered, so that their state needs no store. */
	private static final int REMEMBERED = 500;

	/** How often a cancellation without an answer is stored again. */
	private static final int MAX_REPEATS = 3;

	private final EventLoop loop;

	private final MetadataStore store;

	private final DecisionLog log;

	private final LeaderLink link;

	private final Supplier<Optional<Term>> term;

	private final SubmissionLog submissions;

	private final Map<JobId, Long> recent = new LinkedHashMap<>();

	/** Submissions that may have been stored, so that they must not be called refused. */
	private final Map<JobId, Long> unresolved = new LinkedHashMap<>();

	private final RecentCounts recentCounts = new RecentCounts();

	private final LongSupplier storeReachedAt;

	private final RetryAfterRule retryAfter = new RetryAfterRule();

	/** When the store last failed a submission, in milliseconds. */
	private long storeFailedAt = Long.MIN_VALUE;

	/**
	 * Creates a service.
	 * @param tools what the parts of the process share
	 * @param link the connection to the leader
	 * @param term the term of this process, if it leads
	 * @param storeReachedAt when the store last answered, in milliseconds
	 */
	public JobService(Term.Tools tools, LeaderLink link, Supplier<Optional<Term>> term, LongSupplier storeReachedAt) {
		this.storeReachedAt = storeReachedAt;
		this.loop = tools.loop();
		this.store = tools.store();
		this.log = tools.log();
		this.link = link;
		this.term = term;
		this.submissions = new SubmissionLog(this.store);
	}

	/**
	 * Accepts a job.
	 * @param submission the job
	 * @param outcome gets the outcome
	 */
	public void submit(JobSubmission submission, Consumer<SubmissionLog.Outcome> outcome) {
		long since = this.loop.now();
		if (storeAway()) {
			withoutStore(submission, outcome);
			return;
		}
		this.submissions.store(submission, (result) -> {
			this.log.append("job-submitted", submission.id(), "queue", submission.queue(), "outcome", result, "took-ms",
					this.loop.now() - since);
			if (result == SubmissionLog.Outcome.STORED) {
				this.unresolved.remove(submission.id());
				add(this.recent, submission.id());
				announce(submission);
				outcome.accept(result);
				return;
			}
			this.storeFailedAt = this.loop.now();
			if (result == SubmissionLog.Outcome.UNKNOWN) {
				add(this.unresolved, submission.id());
			}
			outcome.accept(unlessUnresolved(submission.id()));
		});
	}

	/**
	 * Says when a caller whose job was refused should come back.
	 * @param job the job
	 * @param priority the priority of its queue
	 * @return whole seconds
	 */
	public int retryAfterSeconds(JobId job, int priority) {
		return this.retryAfter.seconds(this.loop.now() - this.storeReachedAt.getAsLong(), priority, job);
	}

	// An earlier call for the job may have been stored, here or by another process.
	private void withoutStore(JobSubmission submission, Consumer<SubmissionLog.Outcome> outcome) {
		this.link.ask(PeerFrame.Kind.ASK_STATE, submission.id().value(), (frame) -> {
			boolean known = frame.filter((found) -> found.kind() == PeerFrame.Kind.STATE && found.number() >= 0)
				.isPresent();
			SubmissionLog.Outcome result = known ? SubmissionLog.Outcome.STORED : unlessUnresolved(submission.id());
			this.log.append("job-refused", submission.id(), "queue", submission.queue(), "reason", "store is away",
					"outcome", result, "failed-ms", this.loop.now() - this.storeFailedAt);
			outcome.accept(result);
		});
	}

	private SubmissionLog.Outcome unlessUnresolved(JobId job) {
		return this.unresolved.containsKey(job) ? SubmissionLog.Outcome.UNKNOWN : SubmissionLog.Outcome.REFUSED;
	}

	// A submission that cannot be stored is refused at once, until the store answers
	// again.
	private boolean storeAway() {
		return this.storeFailedAt >= this.storeReachedAt.getAsLong();
	}

	private void announce(JobSubmission submission) {
		Optional<Term> mine = this.term.get();
		if (mine.isPresent()) {
			mine.get().submitted(submission);
			return;
		}
		this.link.tell(new PeerFrame(PeerFrame.Kind.SUBMITTED, 0, submission.id().value(), 0,
				SubmissionCodec.encode(submission)));
	}

	private void add(Map<JobId, Long> jobs, JobId job) {
		jobs.put(job, this.loop.now());
		if (jobs.size() > REMEMBERED) {
			jobs.remove(jobs.keySet().iterator().next());
		}
	}

	/**
	 * Finds out the state of a job.
	 * @param job the job
	 * @param answer gets the state
	 */
	public void state(JobId job, Consumer<StateAnswer> answer) {
		Optional<Term> mine = this.term.get();
		if (mine.isPresent()) {
			known(job, mine.get().state(job), answer);
			return;
		}
		this.link.ask(PeerFrame.Kind.ASK_STATE, job.value(), (frame) -> {
			Optional<JobState> state = frame.filter((found) -> found.kind() == PeerFrame.Kind.STATE)
				.filter((found) -> found.number() >= 0 && found.number() < JobState.values().length)
				.map((found) -> JobState.values()[(int) found.number()]);
			known(job, state, answer);
		});
	}

	private void known(JobId job, Optional<JobState> state, Consumer<StateAnswer> answer) {
		if (state.isPresent()) {
			answer.accept(new StateAnswer.Known(state.get()));
			return;
		}
		this.store.read(JobKeys.progress(job), (reply) -> progressRead(job, reply, answer));
	}

	private void progressRead(JobId job, StoreReply<StoredItem> reply, Consumer<StateAnswer> answer) {
		if (!(reply instanceof StoreReply.Ok<StoredItem> item)) {
			answer.accept(new StateAnswer.Unavailable());
			return;
		}
		if (item.value().exists()) {
			try {
				answer.accept(new StateAnswer.Known(ProgressCodec.decode(job, item.value().value()).state()));
			}
			catch (DecodeException ex) {
				this.log.append("job-unreadable", job, "error", ex);
				answer.accept(new StateAnswer.Unavailable());
			}
			return;
		}
		if (this.recent.containsKey(job)) {
			answer.accept(new StateAnswer.Known(JobState.QUEUED));
			return;
		}
		this.store.read(JobKeys.submission(job), (submission) -> answer.accept(fromSubmission(submission)));
	}

	private static StateAnswer fromSubmission(StoreReply<StoredItem> reply) {
		if (!(reply instanceof StoreReply.Ok<StoredItem> item)) {
			return new StateAnswer.Unavailable();
		}
		return item.value().exists() ? new StateAnswer.Known(JobState.QUEUED) : new StateAnswer.NoSuchJob();
	}

	/**
	 * Cancels a job.
	 * @param job the job
	 * @param answer gets the outcome
	 */
	public void cancel(JobId job, Consumer<CancelAnswer> answer) {
		if (this.recent.containsKey(job)) {
			storeCancel(job, 0, answer);
			return;
		}
		this.store.read(JobKeys.submission(job), (reply) -> {
			if (!(reply instanceof StoreReply.Ok<StoredItem> item)) {
				answer.accept(CancelAnswer.UNAVAILABLE);
			}
			else if (!item.value().exists()) {
				answer.accept(CancelAnswer.NO_SUCH_JOB);
			}
			else {
				storeCancel(job, 0, answer);
			}
		});
	}

	private void storeCancel(JobId job, int repeats, Consumer<CancelAnswer> answer) {
		Commit commit = new Commit().write(JobKeys.cancellation(job), new byte[] { 1 }, 0);
		this.store.commit(commit, (reply) -> {
			if (reply instanceof StoreReply.Ok<Long>) {
				this.log.append("job-cancelled", job, "repeats", repeats);
				announceCancel(job);
				answer.accept(CancelAnswer.CANCELLED);
			}
			else if (reply instanceof StoreReply.Unknown<Long> && repeats < MAX_REPEATS) {
				storeCancel(job, repeats + 1, answer);
			}
			else {
				answer.accept(CancelAnswer.UNAVAILABLE);
			}
		});
	}

	private void announceCancel(JobId job) {
		Optional<Term> mine = this.term.get();
		if (mine.isPresent()) {
			mine.get().cancelled(job);
			return;
		}
		this.link.tell(PeerFrame.of(PeerFrame.Kind.CANCELLED, 0, job.value()));
	}

	/**
	 * Counts the jobs of a queue of which no task has started.
	 * @param queue the name of the queue
	 * @param answer gets the number, or empty if it cannot be had
	 */
	public void pending(String queue, Consumer<Optional<Integer>> answer) {
		Optional<Integer> mine = this.term.get().flatMap((leading) -> leading.pending(queue));
		if (mine.isPresent()) {
			answer.accept(mine);
			return;
		}
		long askedAt = this.loop.now();
		this.link.ask(PeerFrame.Kind.ASK_PENDING, queue, (frame) -> {
			frame.filter((found) -> found.kind() == PeerFrame.Kind.PENDING)
				.ifPresent((found) -> this.recentCounts.keep(queue, (int) found.number(), askedAt));
			answer.accept(this.recentCounts.freshAt(queue, this.loop.now()));
		});
	}

	/**
	 * Answers a frame of a peer.
	 * @param frame the frame
	 * @return the answer, or {@code null} if there is none
	 */
	public PeerFrame answer(PeerFrame frame) {
		Optional<Term> mine = this.term.get();
		return switch (frame.kind()) {
			case ASK_STATE ->
				mine.isEmpty() ? frame.answer(PeerFrame.Kind.NOT_LEADING, 0) : frame.answer(PeerFrame.Kind.STATE,
						mine.get().state(new JobId(frame.subject())).map(JobState::ordinal).orElse(-1));
			case ASK_PENDING -> mine.flatMap((leading) -> leading.pending(frame.subject()))
				.map((count) -> frame.answer(PeerFrame.Kind.PENDING, count))
				.orElseGet(() -> frame.answer(PeerFrame.Kind.NOT_LEADING, 0));
			case PING -> mine.map((leading) -> frame.answer(PeerFrame.Kind.PONG, leading.leaseHeld() ? 1 : 0))
				.orElseGet(() -> frame.answer(PeerFrame.Kind.NOT_LEADING, 0));
			case SUBMITTED -> {
				mine.ifPresent((leading) -> takeSubmission(leading, frame));
				yield null;
			}
			case CANCELLED -> {
				mine.ifPresent((leading) -> leading.cancelled(new JobId(frame.subject())));
				yield null;
			}
			default -> null;
		};
	}

	private void takeSubmission(Term leading, PeerFrame frame) {
		try {
			leading.submitted(SubmissionCodec.decode(new JobId(frame.subject()), frame.content()));
		}
		catch (DecodeException ex) {
			this.log.append("job-unreadable", frame.subject(), "error", ex);
		}
	}

	/**
	 * What is known of a job's state.
	 */
	public sealed interface StateAnswer {

		/**
		 * The state is known.
		 *
		 * @param state the state
		 */
		record Known(JobState state) implements StateAnswer {
		}

		/**
		 * There is no such job.
		 */
		record NoSuchJob() implements StateAnswer {
		}

		/**
		 * Neither the leader nor the store can be reached.
		 */
		record Unavailable() implements StateAnswer {
		}

	}

	/**
	 * What became of a cancellation.
	 */
	public enum CancelAnswer {

		/** It is stored. */
		CANCELLED,

		/** There is no such job. */
		NO_SUCH_JOB,

		/** It could not be stored, or may be later. */
		UNAVAILABLE

	}

}
