package io.lentilstream.control.api;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import io.lentilstream.control.store.Commit;
import io.lentilstream.control.store.MetadataStore;
import io.lentilstream.control.store.StoreReply;
import io.lentilstream.control.store.StoredItem;
import io.lentilstream.control.term.JobKeys;
import io.lentilstream.control.term.SubmissionTombstone;
import io.lentilstream.jobs.JobSubmission;
import io.lentilstream.jobs.codec.SubmissionCodec;
import io.lentilstream.model.JobId;

/**
 * Stores submissions, batching those that arrive close together into one commit. Batching
 * serves bursts of submissions, since the store limits calls and not bytes.
 */
public final class SubmissionWriter {

	/** Maximum number of submissions in a commit; each takes a condition and a write. */
	private static final int MAX_BATCH = Commit.MAX_ENTRIES / 2;

	/** Maximum size of a submission, in bytes; the store accepts no larger values. */
	private static final int MAX_SUBMISSION_BYTES = 1 << 20;

	private static final int MAX_COMMITS_IN_FLIGHT = 2;

	/** How often a commit is retried if there was no reply. */
	private static final int MAX_RETRIES = 2;

	/**
	 * Number of consecutive commits without a reply from which the store is considered
	 * unreachable. A single one may be a lost reply.
	 */
	private static final int UNANSWERED_COMMITS_THRESHOLD = 2;

	private final MetadataStore store;

	private final Map<JobId, PendingSubmission> queue = new LinkedHashMap<>();

	/** Number of commits in flight per job. There may be several, since callers retry. */
	private final Map<JobId, Integer> jobCommitsInFlight = new HashMap<>();

	private int inFlight;

	private int unansweredCommits;

	/**
	 * Creates a writer.
	 * @param store the store
	 */
	public SubmissionWriter(MetadataStore store) {
		this.store = store;
	}

	/**
	 * Stores a submission unless one with its id exists already.
	 * @param submission the submission
	 * @param callback receives the outcome, once
	 */
	public void store(JobSubmission submission, Consumer<Outcome> callback) {
		byte[] encoded = SubmissionCodec.encode(submission);
		if (encoded.length > MAX_SUBMISSION_BYTES) {
			callback.accept(Outcome.TOO_LARGE);
			return;
		}
		PendingSubmission entry = this.queue.computeIfAbsent(submission.id(),
				(id) -> new PendingSubmission(id, encoded));
		entry.callbacks.add(callback);
		commitNext();
		refuseQueuedIfUnreachable();
	}

	/**
	 * Tells whether a submission of a job is being stored.
	 * @param job the job
	 * @return {@code true} if it waits or is in flight
	 */
	boolean isPending(JobId job) {
		return this.queue.containsKey(job) || this.jobCommitsInFlight.containsKey(job);
	}

	// Submissions queued behind commits without a reply were never sent, so refusing them
	// is safe.
	private void refuseQueuedIfUnreachable() {
		if (this.unansweredCommits < UNANSWERED_COMMITS_THRESHOLD || this.inFlight == 0) {
			return;
		}
		List<PendingSubmission> refused = List.copyOf(this.queue.values());
		this.queue.clear();
		refused.forEach((entry) -> finish(entry, Outcome.REFUSED));
	}

	private void commitNext() {
		while (!this.queue.isEmpty() && this.inFlight < MAX_COMMITS_IN_FLIGHT) {
			List<PendingSubmission> batch = new ArrayList<>();
			var entries = this.queue.values().iterator();
			while (entries.hasNext() && batch.size() < MAX_BATCH) {
				batch.add(entries.next());
				entries.remove();
			}
			this.inFlight++;
			batch.forEach((entry) -> this.jobCommitsInFlight.merge(entry.job, 1, Integer::sum));
			commit(batch, 0);
		}
	}

	private void commit(List<PendingSubmission> batch, int retries) {
		Commit commit = new Commit();
		for (PendingSubmission entry : batch) {
			String key = JobKeys.submission(entry.job);
			commit.require(key, 0).write(key, entry.encoded, 0);
		}
		this.store.commit(commit, (reply) -> committed(batch, retries, reply));
	}

	private void committed(List<PendingSubmission> batch, int retries, StoreReply<Long> reply) {
		this.unansweredCommits = (reply instanceof StoreReply.Unknown<Long>) ? this.unansweredCommits + 1 : 0;
		if (reply instanceof StoreReply.Unknown<Long> && retries < MAX_RETRIES) {
			commit(batch, retries + 1);
			refuseQueuedIfUnreachable();
			return;
		}
		if (reply instanceof StoreReply.Conflict<Long> conflict) {
			List<PendingSubmission> notStored = withoutStored(batch, conflict.items());
			if (!notStored.isEmpty() && notStored.size() < batch.size()) {
				commit(notStored, retries);
				return;
			}
			finishBatch(notStored, Outcome.UNKNOWN);
		}
		else if (reply instanceof StoreReply.Ok<Long>) {
			finishBatch(batch, Outcome.STORED);
		}
		else {
			// If an earlier attempt got no reply, a rejection of the retry does not show
			// that the earlier one had no effect.
			boolean definitelyRefused = reply instanceof StoreReply.NotDone<Long> && retries == 0;
			finishBatch(batch, definitelyRefused ? Outcome.REFUSED : Outcome.UNKNOWN);
		}
		this.inFlight--;
		commitNext();
	}

	private List<PendingSubmission> withoutStored(List<PendingSubmission> batch, List<StoredItem> items) {
		Map<String, StoredItem> found = new LinkedHashMap<>();
		items.stream().filter(StoredItem::exists).forEach((item) -> found.put(item.key(), item));
		List<PendingSubmission> notStored = new ArrayList<>();
		for (PendingSubmission entry : batch) {
			StoredItem item = found.get(JobKeys.submission(entry.job));
			if (item == null) {
				notStored.add(entry);
				continue;
			}
			commitReturned(entry);
			entry.finish(SubmissionTombstone.isTombstone(item) ? Outcome.CANCELLED : Outcome.STORED);
		}
		return notStored;
	}

	private void finishBatch(List<PendingSubmission> batch, Outcome outcome) {
		batch.forEach(this::commitReturned);
		batch.forEach((entry) -> finish(entry, outcome));
	}

	private void commitReturned(PendingSubmission entry) {
		this.jobCommitsInFlight.computeIfPresent(entry.job, (id, count) -> (count > 1) ? count - 1 : null);
	}

	// A job is not reported as refused while an earlier submission may still be stored.
	private void finish(PendingSubmission entry, Outcome outcome) {
		boolean mayBeStored = outcome == Outcome.REFUSED && this.jobCommitsInFlight.containsKey(entry.job);
		entry.finish(mayBeStored ? Outcome.UNKNOWN : outcome);
	}

	/**
	 * The outcome of a submission.
	 */
	public enum Outcome {

		/** The submission is stored, by this call or an earlier one. */
		STORED,

		/** The submission is not stored and will not be. */
		REFUSED,

		/** The submission may be stored already, or may be stored later. */
		UNKNOWN,

		/**
		 * The job was cancelled before it was stored. No submission of it is stored, nor
		 * will be.
		 */
		CANCELLED,

		/** The submission is larger than the store accepts. It is not stored. */
		TOO_LARGE,

		/**
		 * The accepted jobs leave no memory for the job. It is not stored and will not
		 * be.
		 */
		NO_CAPACITY

	}

	/**
	 * A submission with the callbacks that wait for its outcome.
	 */
	private static final class PendingSubmission {

		private final JobId job;

		private final byte[] encoded;

		private final List<Consumer<Outcome>> callbacks = new ArrayList<>(1);

		PendingSubmission(JobId job, byte[] encoded) {
			this.job = job;
			this.encoded = encoded;
		}

		void finish(Outcome outcome) {
			this.callbacks.forEach((callback) -> callback.accept(outcome));
		}

	}

}
