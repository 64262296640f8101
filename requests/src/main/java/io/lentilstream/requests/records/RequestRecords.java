package io.lentilstream.requests.records;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

import io.lentilstream.clients.EndpointOutcome;
import io.lentilstream.clients.KeyOutcome;
import io.lentilstream.model.EndpointId;
import io.lentilstream.model.Epoch;
import io.lentilstream.model.KindName;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.NotRunReason;
import io.lentilstream.model.RequestId;
import io.lentilstream.model.RequestOutcome;
import io.lentilstream.model.ShardId;
import io.lentilstream.requests.records.LiveRecord.Activity;
import io.lentilstream.requests.records.LiveRecord.PendingChange;
import io.lentilstream.requests.records.LiveRecord.Phase;

/**
 * State machine of the at-most-once records of one request shard in one epoch. Each state
 * is durable before the step that depends on it: accepted before the caller is notified,
 * dispatching before the first byte is sent, the outcome before it is published. A
 * request is dispatched again only after the endpoint has refused or sealed the previous
 * attempt. If the shard is lost or its log is fenced, the instance is discarded with all
 * its state. All methods are thread-safe and do not block on I/O.
 */
public final class RequestRecords {

	private static final int MAX_SCOPE_LENGTH = 64;

	private static final RecordStep NOTHING = new RecordStep(0, List.of(), List.of());

	private final Object lock = new Object();

	private final RequestRecordSettings settings;

	private final String attemptPrefix;

	private final Map<RecordKey, LiveRecord> records = new LinkedHashMap<>();

	private final Map<Long, List<LiveRecord>> recordsByStep = new HashMap<>();

	private final TreeSet<LiveRecord.Timer> timers = new TreeSet<>();

	private long storedBytes;

	private long nextStep = 1;

	private long nextAttempt = 1;

	private long nextTimer = 1;

	private boolean failed;

	/**
	 * Creates the records of a shard that was just taken over. {@link #recover} must be
	 * called next.
	 * @param settings the limits
	 * @param shard the request shard
	 * @param epoch the epoch of this owner, which makes its attempt ids unique
	 */
	public RequestRecords(RequestRecordSettings settings, ShardId shard, Epoch epoch) {
		this.settings = settings;
		String scope = shard.scope();
		this.attemptPrefix = scope.substring(0, Math.min(MAX_SCOPE_LENGTH, scope.length())) + "." + shard.index() + "."
				+ epoch + ".";
	}

	/**
	 * Restores the records from the log. Accepted requests are queued for a slot again;
	 * for requests being dispatched, the endpoint is queried for the key.
	 * @param now the present time
	 * @param snapshot the snapshot of the log, if any
	 * @param entries the entries after the snapshot
	 * @return the step; {@link RecordAction.RecoveryFailed} if the bytes cannot be read
	 */
	public RecordStep recover(MonotonicTime now, Optional<byte[]> snapshot, List<byte[]> entries) {
		synchronized (this.lock) {
			try {
				if (snapshot.isPresent()) {
					RecordEntryCodec.decodeSnapshot(snapshot.get()).forEach((entry) -> replay(now, entry));
				}
				for (byte[] entry : entries) {
					replay(now, RecordEntryCodec.decode(entry));
				}
			}
			catch (IOException ex) {
				this.failed = true;
				this.records.clear();
				return actionsOnly(List.of(new RecordAction.RecoveryFailed(ex.getMessage())));
			}
			List<RecordAction> actions = new ArrayList<>();
			for (LiveRecord live : this.records.values()) {
				this.storedBytes += live.storedBytes();
				if (live.phase == Phase.ACCEPTED) {
					live.activity = Activity.WAITING;
					actions.add(new RecordAction.RequestSlot(live.key, live.kind));
				}
				else if (live.phase == Phase.DISPATCHING) {
					actions.add(lookUp(now, live));
				}
				schedule(live);
			}
			return actionsOnly(actions);
		}
	}

	/**
	 * Submits a request. For a known key, the caller is notified of its current state;
	 * the same key with another body or kind is a conflict.
	 * @param now the present time
	 * @param key the key
	 * @param kind the kind
	 * @param body the body
	 * @param digest the digest that identifies the request
	 * @param keepUntil the end of the record's retention
	 * @param freeSlot an endpoint with a slot acquired for this request, so that
	 * accepting and dispatching are one commit
	 * @return the step
	 */
	public RecordStep offer(MonotonicTime now, RecordKey key, KindName kind, byte[] body, byte[] digest,
			MonotonicTime keepUntil, Optional<EndpointId> freeSlot) {
		synchronized (this.lock) {
			List<RecordAction> actions = new ArrayList<>();
			LiveRecord known = this.records.get(key);
			if (known != null || isFull(body) || body.length > this.settings.maxBodyBytes()) {
				freeSlot.ifPresent((endpoint) -> actions.add(new RecordAction.ReleaseSlot(key, endpoint)));
				if (known != null) {
					addNotification(known, kind, digest, actions);
				}
				else if (body.length > this.settings.maxBodyBytes()) {
					actions.add(new RecordAction.NotifyTooLarge(key, this.settings.maxBodyBytes()));
				}
				else {
					NotRunReason reason = (this.failed) ? NotRunReason.STORE_UNAVAILABLE : NotRunReason.QUEUE_FULL;
					actions.add(new RecordAction.NotifyNotAccepted(key, recordNotRun(reason)));
				}
				return actionsOnly(actions);
			}
			LiveRecord live = new LiveRecord(key);
			live.kind = kind;
			live.digest = digest;
			live.body = body;
			live.keepUntil = keepUntil;
			this.records.put(key, live);
			this.storedBytes += body.length;
			List<RecordEntry> entries = new ArrayList<>();
			entries.add(new RecordEntry.Accepted(key, kind, digest, body, live.keepMillis(now)));
			actions.add(new RecordAction.NotifyAccepted(key));
			if (freeSlot.isPresent()) {
				addDispatch(live, freeSlot.get(), entries, actions);
			}
			else {
				actions.add(new RecordAction.RequestSlot(key, kind));
			}
			return proposeChange(live, entries, actions);
		}
	}

	/**
	 * Dispatches a request to a slot of an endpoint. If the request cannot use the slot,
	 * the step releases it.
	 * @param now the present time
	 * @param key the key
	 * @param endpoint the endpoint
	 * @return the step
	 */
	public RecordStep dispatch(MonotonicTime now, RecordKey key, EndpointId endpoint) {
		synchronized (this.lock) {
			LiveRecord live = this.records.get(key);
			boolean ready = live != null && live.pendingChange == null && live.rejectedChange == null
					&& live.phase == Phase.ACCEPTED && !live.cancelRequested && now.isBefore(live.keepUntil);
			if (!ready) {
				if (live != null && live.pendingChange != null) {
					live.requestSlotAfterCommit = true;
				}
				return actionsOnly(List.of(new RecordAction.ReleaseSlot(key, endpoint)));
			}
			List<RecordEntry> entries = new ArrayList<>();
			List<RecordAction> actions = new ArrayList<>();
			addDispatch(live, endpoint, entries, actions);
			return proposeChange(live, entries, actions);
		}
	}

	/**
	 * Records the outcome of an attempt. The daemon itself releases the endpoint's slot.
	 * @param now the present time
	 * @param key the key
	 * @param attempt the attempt
	 * @param outcome the outcome
	 * @return the step
	 */
	public RecordStep attemptCompleted(MonotonicTime now, RecordKey key, RequestId attempt, EndpointOutcome outcome) {
		synchronized (this.lock) {
			LiveRecord live = findAwaiting(key, attempt, Activity.SENDING);
			if (live == null) {
				return NOTHING;
			}
			if (outcome instanceof EndpointOutcome.Answered answered) {
				return recordAnswered(now, live, answered.status(), answered.contentType(), answered.body());
			}
			if (outcome instanceof EndpointOutcome.Broken) {
				return actionsOnly(List.of(lookUp(now, live)));
			}
			return handleNotRun(now, live);
		}
	}

	/**
	 * Records the outcome of a lookup.
	 * @param now the present time
	 * @param key the key
	 * @param attempt the attempt
	 * @param outcome the outcome
	 * @return the step
	 */
	public RecordStep lookUpCompleted(MonotonicTime now, RecordKey key, RequestId attempt, KeyOutcome outcome) {
		synchronized (this.lock) {
			LiveRecord live = findAwaiting(key, attempt, Activity.LOOKING_UP);
			if (live == null) {
				return handleRepeatedLookUp(now, this.records.get(key), attempt, outcome);
			}
			if (outcome instanceof KeyOutcome.Unseen) {
				live.activity = Activity.SEALING;
				live.retryAt = null;
				return actionsOnly(List.of(new RecordAction.Seal(key, live.endpoint, attempt)));
			}
			return handleKeyOutcome(now, live, outcome);
		}
	}

	/**
	 * Records the outcome of a seal.
	 * @param now the present time
	 * @param key the key
	 * @param attempt the attempt
	 * @param outcome the outcome
	 * @return the step
	 */
	public RecordStep sealed(MonotonicTime now, RecordKey key, RequestId attempt, KeyOutcome outcome) {
		synchronized (this.lock) {
			LiveRecord live = findAwaiting(key, attempt, Activity.SEALING);
			return (live != null) ? handleKeyOutcome(now, live, outcome) : NOTHING;
		}
	}

	/**
	 * Cancels a request. If the request is being dispatched, it is not dispatched again
	 * should its attempt turn out not to have run.
	 * @param now the present time
	 * @param key the key
	 * @return the step
	 */
	public RecordStep cancel(MonotonicTime now, RecordKey key) {
		synchronized (this.lock) {
			LiveRecord live = this.records.get(key);
			if (live == null || live.hasOutcome() || live.cancelRequested) {
				return NOTHING;
			}
			if (live.pendingChange != null || live.rejectedChange != null) {
				live.cancelAfterCommit = true;
				return NOTHING;
			}
			return recordCancellation(now, live);
		}
	}

	/**
	 * Queries the endpoint again for a request whose outcome is unknown. Only a recorded
	 * answer changes the record; the request never runs again.
	 * @param key the key
	 * @return the step
	 */
	public RecordStep repeatLookUp(RecordKey key) {
		synchronized (this.lock) {
			LiveRecord live = this.records.get(key);
			if (live == null || live.phase != Phase.UNKNOWN) {
				return NOTHING;
			}
			return actionsOnly(List.of(new RecordAction.LookUp(key, live.endpoint, live.attempt)));
		}
	}

	/**
	 * Returns the durable outcome of a key, which is what callers may be told.
	 * @param key the key
	 * @return the outcome, or empty if the key is unknown or its acceptance is not
	 * durable yet
	 */
	public Optional<RequestOutcome> findOutcome(RecordKey key) {
		synchronized (this.lock) {
			LiveRecord live = this.records.get(key);
			if (live == null || live.phase == Phase.NEW) {
				return Optional.empty();
			}
			return Optional.of((live.outcome != null) ? live.outcome : new RequestOutcome.Accepted(key.key()));
		}
	}

	/**
	 * Records that the entries of a step are durable.
	 * @param now the present time
	 * @param step the id of the step
	 * @return the next step, in addition to the actions of the committed step
	 */
	public RecordStep commitCompleted(MonotonicTime now, long step) {
		synchronized (this.lock) {
			List<LiveRecord> changed = this.recordsByStep.remove(step);
			if (changed == null) {
				return NOTHING;
			}
			List<RecordAction> actions = new ArrayList<>();
			List<RecordEntry> entries = new ArrayList<>();
			List<LiveRecord> cancelledRecords = new ArrayList<>();
			for (LiveRecord live : changed) {
				applyPending(now, live);
				if (live.cancelAfterCommit && live.phase == Phase.ACCEPTED) {
					entries.add(new RecordEntry.NotRun(live.key, NotRunReason.CANCELLED, live.keepMillis(now)));
					actions.add(new RecordAction.PublishOutcome(live.key, recordNotRun(NotRunReason.CANCELLED)));
					cancelledRecords.add(live);
				}
				else if (live.cancelAfterCommit && live.phase == Phase.DISPATCHING) {
					live.cancelRequested = true;
				}
				else if (live.requestSlotAfterCommit && live.phase == Phase.ACCEPTED) {
					actions.add(new RecordAction.RequestSlot(live.key, live.kind));
				}
				live.cancelAfterCommit = false;
				live.requestSlotAfterCommit = false;
				schedule(live);
			}
			return cancelledRecords.isEmpty() ? actionsOnly(actions)
					: proposeChange(cancelledRecords.get(0), entries, actions);
		}
	}

	/**
	 * Records that the entries of a step were not written and never will be. It must not
	 * be called if the log was fenced while the commit was in flight.
	 * @param now the present time
	 * @param step the id of the step
	 * @return the next step, which replaces the actions of the rejected step
	 */
	public RecordStep commitRejected(MonotonicTime now, long step) {
		synchronized (this.lock) {
			List<RecordAction> actions = new ArrayList<>();
			for (LiveRecord live : this.recordsByStep.getOrDefault(step, List.of())) {
				PendingChange change = live.pendingChange;
				live.pendingChange = null;
				change.actions().forEach((action) -> addSlotRelease(action, actions));
				if (live.phase == Phase.NEW) {
					remove(live);
					actions.add(
							new RecordAction.NotifyNotAccepted(live.key, recordNotRun(NotRunReason.STORE_UNAVAILABLE)));
					continue;
				}
				boolean dispatch = change.entries().get(0) instanceof RecordEntry.Dispatching;
				if (!dispatch) {
					live.rejectedChange = change;
				}
				live.retryAt = now.plus(this.settings.retryInterval());
				schedule(live);
			}
			this.recordsByStep.remove(step);
			return actionsOnly(actions);
		}
	}

	/**
	 * Runs the timers that are due: retries of lookups, seals and rejected log entries,
	 * and the expiry of records. At most one step with entries is returned per call;
	 * {@link #nextWakeUp} shows whether more timers are due.
	 * @param now the present time
	 * @return the step
	 */
	public RecordStep tick(MonotonicTime now) {
		synchronized (this.lock) {
			List<RecordAction> actions = new ArrayList<>();
			while (!this.timers.isEmpty() && !now.isBefore(this.timers.first().time())) {
				LiveRecord live = this.timers.first().record();
				if (live.isChangeDue(now)) {
					// Entries get a step of their own, because a rejected commit drops
					// the step's actions.
					return actions.isEmpty() ? proposeDueChange(now, live) : actionsOnly(actions);
				}
				this.timers.pollFirst();
				live.timer = null;
				live.retryAt = null;
				addDueAction(live, actions);
				schedule(live);
			}
			return actionsOnly(actions);
		}
	}

	/**
	 * Returns when {@link #tick} must be called next.
	 * @return the time, or empty if no timer is scheduled
	 */
	public Optional<MonotonicTime> nextWakeUp() {
		synchronized (this.lock) {
			return this.timers.isEmpty() ? Optional.empty() : Optional.of(this.timers.first().time());
		}
	}

	/**
	 * Returns a snapshot of the durable state of all records.
	 * @param now the present time
	 * @return the encoded snapshot, as read by {@link #recover}
	 */
	public byte[] snapshot(MonotonicTime now) {
		synchronized (this.lock) {
			List<RecordEntry> entries = new ArrayList<>();
			this.records.values().forEach((live) -> entries.addAll(live.toEntries(now)));
			return RecordEntryCodec.encodeSnapshot(entries);
		}
	}

	/**
	 * Returns the number of records.
	 * @return the number, including records that are not durable yet
	 */
	public int size() {
		synchronized (this.lock) {
			return this.records.size();
		}
	}

	private void replay(MonotonicTime now, RecordEntry entry) {
		if (entry instanceof RecordEntry.Removed) {
			this.records.remove(entry.key());
			return;
		}
		if (entry instanceof RecordEntry.Accepted) {
			this.records.computeIfAbsent(entry.key(), LiveRecord::new);
		}
		LiveRecord live = this.records.get(entry.key());
		if (live != null) {
			// A snapshot may already contain the effect of the first entries after it, so
			// an entry may belong to a record that has been removed.
			live.apply(entry, now);
		}
	}

	private void applyPending(MonotonicTime now, LiveRecord live) {
		PendingChange change = live.pendingChange;
		live.pendingChange = null;
		this.storedBytes -= live.storedBytes();
		for (RecordEntry entry : change.entries()) {
			if (entry instanceof RecordEntry.Removed) {
				remove(live);
				return;
			}
			live.apply(entry, now);
		}
		this.storedBytes += live.storedBytes();
		live.retryAt = null;
		live.giveUpAt = null;
		live.activity = switch (live.phase) {
			case ACCEPTED -> Activity.WAITING;
			case DISPATCHING -> Activity.SENDING;
			default -> Activity.NONE;
		};
	}

	private RecordStep proposeDueChange(MonotonicTime now, LiveRecord live) {
		if (live.rejectedChange != null) {
			PendingChange change = live.rejectedChange;
			live.rejectedChange = null;
			return proposeChange(live, change.entries(), change.actions());
		}
		if (live.phase == Phase.ACCEPTED) {
			return recordNotRun(live, NotRunReason.DEADLINE_PASSED, this.settings.notRunKeep().toMillis());
		}
		return proposeChange(live, List.of(new RecordEntry.Removed(live.key)), List.of());
	}

	private void addDueAction(LiveRecord live, List<RecordAction> actions) {
		switch (live.activity) {
			case LOOKING_UP -> actions.add(new RecordAction.LookUp(live.key, live.endpoint, live.attempt));
			case SEALING -> actions.add(new RecordAction.Seal(live.key, live.endpoint, live.attempt));
			case WAITING -> actions.add(new RecordAction.RequestSlot(live.key, live.kind));
			default -> {
			}
		}
	}

	private LiveRecord findAwaiting(RecordKey key, RequestId attempt, Activity activity) {
		LiveRecord live = this.records.get(key);
		boolean expected = live != null && live.pendingChange == null && live.rejectedChange == null
				&& live.phase == Phase.DISPATCHING && live.activity == activity && live.attempt.equals(attempt);
		return (expected) ? live : null;
	}

	private RecordStep handleKeyOutcome(MonotonicTime now, LiveRecord live, KeyOutcome outcome) {
		if (outcome instanceof KeyOutcome.Ran ran) {
			return recordAnswered(now, live, ran.status(), ran.contentType(), ran.body());
		}
		if (outcome instanceof KeyOutcome.Sealed) {
			return handleNotRun(now, live);
		}
		if (outcome instanceof KeyOutcome.Running) {
			live.activity = Activity.LOOKING_UP;
			live.giveUpAt = null;
		}
		else if (live.giveUpAt == null) {
			live.giveUpAt = now.plus(this.settings.giveUpAfter());
		}
		else if (!now.isBefore(live.giveUpAt)) {
			return recordUnknown(now, live);
		}
		live.retryAt = now.plus(this.settings.retryInterval());
		schedule(live);
		return NOTHING;
	}

	private RecordStep handleRepeatedLookUp(MonotonicTime now, LiveRecord live, RequestId attempt, KeyOutcome outcome) {
		boolean expected = live != null && live.pendingChange == null && live.rejectedChange == null
				&& live.phase == Phase.UNKNOWN && live.attempt.equals(attempt);
		if (expected && outcome instanceof KeyOutcome.Ran ran && ran.body().length <= this.settings.maxAnswerBytes()) {
			return recordAnswered(now, live, ran.status(), ran.contentType(), ran.body());
		}
		return NOTHING;
	}

	private RecordStep recordAnswered(MonotonicTime now, LiveRecord live, int status, String contentType, byte[] body) {
		if (body.length > this.settings.maxAnswerBytes()) {
			return recordUnknown(now, live);
		}
		return proposeChange(live,
				List.of(new RecordEntry.Answered(live.key, status, contentType, body, live.keepMillis(now))),
				List.of(new RecordAction.PublishOutcome(live.key,
						new RequestOutcome.Answered(status, contentType, body))));
	}

	private RecordStep recordUnknown(MonotonicTime now, LiveRecord live) {
		return proposeChange(live,
				List.of(new RecordEntry.Unknown(live.key, live.endpoint, live.attempt, live.keepMillis(now))),
				List.of(new RecordAction.PublishOutcome(live.key, new RequestOutcome.Unknown(live.attempt))));
	}

	private RecordStep handleNotRun(MonotonicTime now, LiveRecord live) {
		if (live.cancelRequested) {
			return recordNotRun(live, NotRunReason.CANCELLED, live.keepMillis(now));
		}
		return proposeChange(live, List.of(new RecordEntry.Returned(live.key)),
				List.of(new RecordAction.RequestSlot(live.key, live.kind)));
	}

	private RecordStep recordCancellation(MonotonicTime now, LiveRecord live) {
		if (live.phase == Phase.ACCEPTED) {
			return recordNotRun(live, NotRunReason.CANCELLED, live.keepMillis(now));
		}
		live.cancelRequested = true;
		// Not tracked as a pending change: the outcome of the attempt may arrive first,
		// and a lost entry only means that a new owner is unaware of it.
		byte[] entry = RecordEntryCodec.encode(new RecordEntry.CancelRequested(live.key));
		return new RecordStep(this.nextStep++, List.of(entry), List.of());
	}

	private RecordStep recordNotRun(LiveRecord live, NotRunReason reason, long keepMillis) {
		return proposeChange(live, List.of(new RecordEntry.NotRun(live.key, reason, keepMillis)),
				List.of(new RecordAction.PublishOutcome(live.key, new RequestOutcome.NotRun(reason, 0))));
	}

	private RequestOutcome.NotRun recordNotRun(NotRunReason reason) {
		long retryAfter = (reason == NotRunReason.CANCELLED) ? 0 : this.settings.retryAfterMillis();
		return new RequestOutcome.NotRun(reason, retryAfter);
	}

	private RecordAction lookUp(MonotonicTime now, LiveRecord live) {
		live.activity = Activity.LOOKING_UP;
		live.retryAt = null;
		live.giveUpAt = now.plus(this.settings.giveUpAfter());
		return new RecordAction.LookUp(live.key, live.endpoint, live.attempt);
	}

	private void addDispatch(LiveRecord live, EndpointId endpoint, List<RecordEntry> entries,
			List<RecordAction> actions) {
		RequestId attempt = new RequestId(this.attemptPrefix + this.nextAttempt++);
		entries.add(new RecordEntry.Dispatching(live.key, endpoint, attempt));
		actions.add(new RecordAction.SendAttempt(live.key, live.kind, endpoint, attempt, live.body));
	}

	private void addNotification(LiveRecord live, KindName kind, byte[] digest, List<RecordAction> actions) {
		if (!live.kind.equals(kind) || !Arrays.equals(live.digest, digest)) {
			actions.add(new RecordAction.NotifyConflict(live.key));
		}
		else if (live.outcome != null) {
			actions.add(new RecordAction.PublishOutcome(live.key, live.outcome));
		}
		else if (live.phase != Phase.NEW) {
			actions.add(new RecordAction.NotifyAccepted(live.key));
		}
		// Before the first commit, the pending step notifies the callers on the key.
	}

	private boolean isFull(byte[] body) {
		return this.failed || this.records.size() >= this.settings.maxRecords()
				|| this.storedBytes + body.length > this.settings.maxStoredBytes();
	}

	private RecordStep proposeChange(LiveRecord live, List<RecordEntry> entries, List<RecordAction> actions) {
		long step = this.nextStep++;
		live.pendingChange = new PendingChange(step, entries, actions);
		this.recordsByStep.put(step, List.of(live));
		schedule(live);
		return new RecordStep(step, entries.stream().map(RecordEntryCodec::encode).toList(), List.copyOf(actions));
	}

	private RecordStep actionsOnly(List<RecordAction> actions) {
		return actions.isEmpty() ? NOTHING : new RecordStep(0, List.of(), List.copyOf(actions));
	}

	private void remove(LiveRecord live) {
		this.records.remove(live.key);
		if (live.phase == Phase.NEW) {
			this.storedBytes -= live.body.length;
		}
		live.phase = Phase.NEW;
	}

	private void schedule(LiveRecord live) {
		if (live.timer != null) {
			this.timers.remove(live.timer);
			live.timer = null;
		}
		MonotonicTime due = live.dueAt();
		if (due != null) {
			live.timer = new LiveRecord.Timer(due, this.nextTimer++, live);
			this.timers.add(live.timer);
		}
	}

	private static void addSlotRelease(RecordAction action, List<RecordAction> actions) {
		if (action instanceof RecordAction.SendAttempt send) {
			actions.add(new RecordAction.ReleaseSlot(send.key(), send.endpoint()));
		}
	}

}
