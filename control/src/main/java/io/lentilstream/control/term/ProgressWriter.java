package io.lentilstream.control.term;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.lentilstream.control.EventLoop;
import io.lentilstream.control.leadership.Leadership;
import io.lentilstream.control.store.Commit;
import io.lentilstream.control.store.MetadataStore;
import io.lentilstream.control.store.StoreReply;
import io.lentilstream.control.store.StoredItem;
import io.lentilstream.jobs.JobProgress;
import io.lentilstream.jobs.codec.ProgressCodec;
import io.lentilstream.jobs.scheduling.JobScheduler;
import io.lentilstream.model.JobId;

/**
 * Stores the progress of jobs, batching several jobs into one commit. A commit requires
 * that this process is still the leader and that each item has its last known revision,
 * so that a commit whose reply was lost cannot overwrite a later one. Batching serves the
 * case in which many short tasks end at once while the store limits the rate of calls.
 */
final class ProgressWriter {

	/**
	 * Each change takes a condition and a write, beside the condition on the leader.
	 */
	private static final int MAX_BATCH = (Commit.MAX_ENTRIES - 1) / 2;

	/** How long changes that no caller waits for are batched, in milliseconds. */
	private static final long BATCH_DELAY_MILLIS = 80;

	/** How long changes that callers wait for are batched, in milliseconds. */
	private static final long URGENT_BATCH_DELAY_MILLIS = 15;

	/** Delay before a failed commit is retried, in milliseconds. */
	private static final long RETRY_DELAY_MILLIS = 150;

	private final EventLoop loop;

	private final MetadataStore store;

	private final JobScheduler scheduler;

	private final FencingTokens tokens;

	private final Runnable onSuperseded;

	/** Called when tasks may start because a change is stored. */
	private final Runnable onStartable;

	private final Map<JobId, Long> revisions = new HashMap<>();

	private boolean inFlight;

	private long commitAt = Long.MAX_VALUE;

	private long retryNotBefore;

	private boolean stopped;

	ProgressWriter(EventLoop loop, MetadataStore store, JobScheduler scheduler, FencingTokens tokens,
			Runnable onSuperseded, Runnable onStartable) {
		this.loop = loop;
		this.store = store;
		this.scheduler = scheduler;
		this.tokens = tokens;
		this.onSuperseded = onSuperseded;
		this.onStartable = onStartable;
	}

	void setRevision(JobId job, long revision) {
		this.revisions.put(job, revision);
	}

	void removeRevision(JobId job) {
		this.revisions.remove(job);
	}

	void stop() {
		this.stopped = true;
	}

	/**
	 * Commits a batch of changes if its delay has passed, or schedules the commit. Must
	 * be called after each tick of the scheduler.
	 */
	void commitIfDue() {
		if (this.stopped || this.inFlight || !this.scheduler.hasChanges()) {
			return;
		}
		long now = this.loop.now();
		long delay = batchDelayMillis();
		if (this.commitAt == Long.MAX_VALUE) {
			this.commitAt = now + delay;
		}
		this.commitAt = Math.max(this.retryNotBefore, Math.min(this.commitAt, now + delay));
		if (now >= this.commitAt) {
			commit();
			return;
		}
		this.loop.schedule(this.commitAt - now, this::commitIfDue);
	}

	private long batchDelayMillis() {
		if (this.scheduler.hasFirstStartWaiting()) {
			return 0;
		}
		return this.scheduler.hasUrgentChanges() ? URGENT_BATCH_DELAY_MILLIS : BATCH_DELAY_MILLIS;
	}

	private void commit() {
		this.inFlight = true;
		this.commitAt = Long.MAX_VALUE;
		List<JobScheduler.Change> changes = this.scheduler.pollChanges(MAX_BATCH);
		Commit commit = new Commit().require(Leadership.LEADER_KEY, this.tokens.elected());
		for (JobScheduler.Change change : changes) {
			JobProgress progress = change.progress();
			String key = JobKeys.progress(progress.job());
			commit.require(key, this.revisions.getOrDefault(progress.job(), 0L))
				.write(key, ProgressCodec.encode(progress), 0);
		}
		this.store.commit(commit, (reply) -> committed(changes, reply));
	}

	private void committed(List<JobScheduler.Change> changes, StoreReply<Long> reply) {
		this.inFlight = false;
		if (this.stopped) {
			return;
		}
		if (reply instanceof StoreReply.Ok<Long> revision) {
			this.tokens.committed(revision.value());
			boolean startable = false;
			for (JobScheduler.Change change : changes) {
				this.revisions.put(change.progress().job(), revision.value());
				startable |= this.scheduler.changeStored(change);
			}
			if (startable) {
				this.onStartable.run();
			}
			commitIfDue();
			return;
		}
		changes.forEach(this.scheduler::changeNotStored);
		if (reply instanceof StoreReply.Conflict<Long> conflict) {
			for (StoredItem item : conflict.items()) {
				if (item.key().equals(Leadership.LEADER_KEY) && item.revision() != this.tokens.elected()) {
					this.onSuperseded.run();
					return;
				}
				JobKeys.parseJobId(JobKeys.PROGRESS, item.key())
					.ifPresent((job) -> this.revisions.put(job, item.exists() ? item.revision() : 0));
			}
		}
		else {
			this.retryNotBefore = this.loop.now() + RETRY_DELAY_MILLIS;
		}
		commitIfDue();
	}

}
