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
import io.lentilstream.jobs.JobSubmission;
import io.lentilstream.jobs.codec.SubmissionCodec;
import io.lentilstream.model.JobId;

/**
 * Stores submissions, several in one commit when they come close together. Load pattern:
 * a burst of submissions against a store that limits calls, not bytes.
 */
public final class SubmissionLog {

	/** Each submission takes a condition and a write. */
	private static final int MAX_BATCH = Commit.MAX_ENTRIES / 2;

	private static final int MAX_COMMITS_IN_FLIGHT = 2;

	/** How often a commit without an answer is made again. */
	private static final int MAX_REPEATS = 2;

	/**
	 * Commits in a row without an answer after which the store counts as away. A single
	 * one may be an answer that was lost.
	 */
	private static final int UNANSWERED_WHEN_AWAY = 2;

	private final MetadataStore store;

	private final Map<JobId, Entry> queue = new LinkedHashMap<>();

	/** How many commits in flight hold a job, since callers repeat their calls. */
	private final Map<JobId, Integer> sent = new HashMap<>();

	private int inFlight;

	private int unanswered;

	/**
	 * Creates a log.
	 * @param store the store
	 */
	public SubmissionLog(MetadataStore store) {
		this.store = store;
	}

	/**
	 * Stores a submission unless there is one with its id.
	 * @param submission the submission
	 * @param outcome gets the outcome
	 */
	public void store(JobSubmission submission, Consumer<Outcome> outcome) {
		Entry entry = this.queue.computeIfAbsent(submission.id(), (id) -> new Entry(submission));
		entry.outcomes.add(outcome);
		commitNext();
		refuseIfAway();
	}

	// What waits behind commits that get no answer was never sent.
	private void refuseIfAway() {
		if (this.unanswered < UNANSWERED_WHEN_AWAY || this.inFlight == 0) {
			return;
		}
		List<Entry> waiting = List.copyOf(this.queue.values());
		this.queue.clear();
		waiting.forEach((entry) -> finish(entry, Outcome.REFUSED));
	}

	private void commitNext() {
		while (!this.queue.isEmpty() && this.inFlight < MAX_COMMITS_IN_FLIGHT) {
			List<Entry> batch = new ArrayList<>();
			var entries = this.queue.values().iterator();
			while (entries.hasNext() && batch.size() < MAX_BATCH) {
				batch.add(entries.next());
				entries.remove();
			}
			this.inFlight++;
			batch.forEach((entry) -> this.sent.merge(entry.submission.id(), 1, Integer::sum));
			commit(batch, 0);
		}
	}

	private void commit(List<Entry> batch, int repeats) {
		Commit commit = new Commit();
		for (Entry entry : batch) {
			String key = JobKeys.submission(entry.submission.id());
			commit.require(key, 0).write(key, SubmissionCodec.encode(entry.submission), 0);
		}
		this.store.commit(commit, (reply) -> committed(batch, repeats, reply));
	}

	private void committed(List<Entry> batch, int repeats, StoreReply<Long> reply) {
		this.unanswered = (reply instanceof StoreReply.Unknown<Long>) ? this.unanswered + 1 : 0;
		if (reply instanceof StoreReply.Unknown<Long> && repeats < MAX_REPEATS) {
			commit(batch, repeats + 1);
			refuseIfAway();
			return;
		}
		if (reply instanceof StoreReply.Conflict<Long> conflict) {
			List<Entry> rest = withoutStored(batch, conflict.items());
			if (!rest.isEmpty() && rest.size() < batch.size()) {
				commit(rest, repeats);
				return;
			}
			finishSent(rest, Outcome.UNKNOWN);
		}
		else if (reply instanceof StoreReply.Ok<Long>) {
			finishSent(batch, Outcome.STORED);
		}
		else {
			// After a commit without an answer a refusal does not rule out the first one.
			boolean refused = reply instanceof StoreReply.NotDone<Long> && repeats == 0;
			finishSent(batch, refused ? Outcome.REFUSED : Outcome.UNKNOWN);
		}
		this.inFlight--;
		commitNext();
	}

	private List<Entry> withoutStored(List<Entry> batch, List<StoredItem> items) {
		Map<String, StoredItem> found = new LinkedHashMap<>();
		items.stream().filter(StoredItem::exists).forEach((item) -> found.put(item.key(), item));
		List<Entry> rest = new ArrayList<>();
		for (Entry entry : batch) {
			if (found.containsKey(JobKeys.submission(entry.submission.id()))) {
				returned(entry);
				entry.finish(Outcome.STORED);
			}
			else {
				rest.add(entry);
			}
		}
		return rest;
	}

	private void finishSent(List<Entry> batch, Outcome outcome) {
		batch.forEach(this::returned);
		batch.forEach((entry) -> finish(entry, outcome));
	}

	private void returned(Entry entry) {
		this.sent.computeIfPresent(entry.submission.id(), (id, count) -> (count > 1) ? count - 1 : null);
	}

	// A job is not refused while an earlier call for it may still be stored.
	private void finish(Entry entry, Outcome outcome) {
		boolean mayBeStored = outcome == Outcome.REFUSED && this.sent.containsKey(entry.submission.id());
		entry.finish(mayBeStored ? Outcome.UNKNOWN : outcome);
	}

	/**
	 * What became of a submission.
	 */
	public enum Outcome {

		/** It is stored, now or since before. */
		STORED,

		/** It is not stored and will not be. */
		REFUSED,

		/** It may be stored, or may be later. */
		UNKNOWN

	}

	/**
	 * A submission that waits for its outcome.
	 */
	private static final class Entry {

		private final JobSubmission submission;

		private final List<Consumer<Outcome>> outcomes = new ArrayList<>(1);

		Entry(JobSubmission submission) {
			this.submission = submission;
		}

		void finish(Outcome outcome) {
			this.outcomes.forEach((waiting) -> waiting.accept(outcome));
		}

	}

}
