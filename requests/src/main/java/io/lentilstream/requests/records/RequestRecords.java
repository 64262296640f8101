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
import io.lentilstream.requests.records.RecordState.Activity;
import io.lentilstream.requests.records.RecordState.PendingChange;
import io.lentilstream.requests.records.RecordState.Phase;

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

	/** The number of broken attempts after which a request is not dispatched again. */
	private static final int MAX_BROKEN_ATTEMPTS = 5;

	private static final RecordStep NOTHING = new RecordStep(0, List.of(), List.of());

	private final Object lock = new Object();

	private final RequestRecordSettings settings;

	private final String attemptPrefix;

	private final Map<RecordKey, RecordState> records = new LinkedHashMap<>();

	private final Map<Long, List<RecordState>> recordsByStep = new HashMap<>();

	private final TreeSet<RecordState.Timer> timers = new TreeSet<>();

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
			for (RecordState state : this.records.values()) {
				this.storedBytes += state.storedBytes();
				if (state.phase == Phase.ACCEPTED) {
					state.activity = Activity.WAITING;
					actions.add(new RecordAction.RequestSlot(state.key, state.kind));
				}
				else if (state.phase == Phase.DISPATCHING) {
					actions.add(lookUp(now, state));
				}
				schedule(state);
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
			RecordState known = this.records.get(key);
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
			RecordState state = new RecordState(key);
			state.kind = kind;
			state.digest = digest;
			state.body = body;
			state.keepUntil = keepUntil;
			this.records.put(key, state);
			this.storedBytes += body.length;
			List<RecordEntry> entries = new ArrayList<>();
			entries.add(new RecordEntry.Accepted(key, kind, digest, body, state.keepMillis(now)));
			actions.add(new RecordAction.NotifyAccepted(key));
			if (freeSlot.isPresent()) {
				addDispatch(state, freeSlot.get(), entries, actions);
			}
			else {
				actions.add(new RecordAction.RequestSlot(key, kind));
			}
			return proposeChange(state, entries, actions);
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
			RecordState state = this.records.get(key);
			boolean ready = state != null && state.pendingChange == null && state.rejectedChange == null
					&& state.phase == Phase.ACCEPTED && !state.cancelRequested && now.isBefore(state.keepUntil);
			if (!ready) {
				if (state != null && state.pendingChange != null) {
					state.requestSlotAfterCommit = true;
				}
				return actionsOnly(List.of(new RecordAction.ReleaseSlot(key, endpoint)));
			}
			List<RecordEntry> entries = new ArrayList<>();
			List<RecordAction> actions = new ArrayList<>();
			addDispatch(state, endpoint, entries, actions);
			return proposeChange(state, entries, actions);
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
			RecordState state = findAwaiting(key, attempt, Activity.SENDING);
			if (state == null) {
				return NOTHING;
			}
			if (outcome instanceof EndpointOutcome.Answered answered) {
				return recordAnswered(now, state, answered.status(), answered.contentType(), answered.body());
			}
			if (outcome instanceof EndpointOutcome.Broken) {
				state.brokenAttempts++;
				return actionsOnly(List.of(lookUp(now, state)));
			}
			return handleNotRun(now, state);
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
			RecordState state = findAwaiting(key, attempt, Activity.LOOKING_UP);
			if (state == null) {
				return handleRepeatedLookUp(now, this.records.get(key), attempt, outcome);
			}
			if (outcome instanceof KeyOutcome.Unseen) {
				state.activity = Activity.SEALING;
				state.retryAt = null;
				return actionsOnly(List.of(new RecordAction.Seal(key, state.endpoint, attempt)));
			}
			return handleKeyOutcome(now, state, outcome);
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
			RecordState state = findAwaiting(key, attempt, Activity.SEALING);
			return (state != null) ? handleKeyOutcome(now, state, outcome) : NOTHING;
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
			RecordState state = this.records.get(key);
			if (state == null || state.hasOutcome() || state.cancelRequested) {
				return NOTHING;
			}
			if (state.pendingChange != null || state.rejectedChange != null) {
				state.cancelAfterCommit = true;
				return NOTHING;
			}
			return recordCancellation(now, state);
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
			RecordState state = this.records.get(key);
			if (state == null || state.phase != Phase.UNKNOWN) {
				return NOTHING;
			}
			return actionsOnly(List.of(new RecordAction.LookUp(key, state.endpoint, state.attempt)));
		}
	}

	/**
	 * Returns the durable outcome of a key, which may be reported to callers.
	 * @param key the key
	 * @return the outcome, or empty if the key is unknown or its acceptance is not
	 * durable yet
	 */
	public Optional<RequestOutcome> findOutcome(RecordKey key) {
		synchronized (this.lock) {
			RecordState state = this.records.get(key);
			if (state == null || state.phase == Phase.NEW) {
				return Optional.empty();
			}
			return Optional.of((state.outcome != null) ? state.outcome : new RequestOutcome.Accepted(key.key()));
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
			List<RecordState> changed = this.recordsByStep.remove(step);
			if (changed == null) {
				return NOTHING;
			}
			List<RecordAction> actions = new ArrayList<>();
			List<RecordEntry> entries = new ArrayList<>();
			List<RecordState> cancelledRecords = new ArrayList<>();
			for (RecordState state : changed) {
				applyPending(now, state);
				if (state.cancelAfterCommit && state.phase == Phase.ACCEPTED) {
					entries.add(new RecordEntry.NotRun(state.key, NotRunReason.CANCELLED, state.keepMillis(now)));
					actions.add(new RecordAction.PublishOutcome(state.key, recordNotRun(NotRunReason.CANCELLED)));
					cancelledRecords.add(state);
				}
				else if (state.cancelAfterCommit && state.phase == Phase.DISPATCHING) {
					state.cancelRequested = true;
				}
				else if (state.requestSlotAfterCommit && state.phase == Phase.ACCEPTED) {
					actions.add(new RecordAction.RequestSlot(state.key, state.kind));
				}
				state.cancelAfterCommit = false;
				state.requestSlotAfterCommit = false;
				schedule(state);
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
			for (RecordState state : this.recordsByStep.getOrDefault(step, List.of())) {
				PendingChange change = state.pendingChange;
				state.pendingChange = null;
				change.actions().forEach((action) -> addSlotRelease(action, actions));
				if (state.phase == Phase.NEW) {
					remove(state);
					actions.add(new RecordAction.NotifyNotAccepted(state.key,
							recordNotRun(NotRunReason.STORE_UNAVAILABLE)));
					continue;
				}
				boolean dispatch = change.entries().get(0) instanceof RecordEntry.Dispatching;
				if (!dispatch) {
					state.rejectedChange = change;
				}
				state.retryAt = now.plus(this.settings.retryInterval());
				schedule(state);
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
				RecordState state = this.timers.first().record();
				if (state.isChangeDue(now)) {
					// Entries get a step of their own, because a rejected commit drops
					// the step's actions.
					return actions.isEmpty() ? proposeDueChange(now, state) : actionsOnly(actions);
				}
				this.timers.pollFirst();
				state.timer = null;
				state.retryAt = null;
				addDueAction(state, actions);
				schedule(state);
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
			this.records.values().forEach((state) -> entries.addAll(state.toEntries(now)));
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
			this.records.computeIfAbsent(entry.key(), RecordState::new);
		}
		RecordState state = this.records.get(entry.key());
		if (state != null) {
			// A snapshot may already contain the effect of the first entries after it, so
			// an entry may belong to a record that has been removed.
			state.apply(entry, now);
		}
	}

	private void applyPending(MonotonicTime now, RecordState state) {
		PendingChange change = state.pendingChange;
		state.pendingChange = null;
		this.storedBytes -= state.storedBytes();
		for (RecordEntry entry : change.entries()) {
			if (entry instanceof RecordEntry.Removed) {
				remove(state);
				return;
			}
			state.apply(entry, now);
		}
		this.storedBytes += state.storedBytes();
		state.retryAt = null;
		state.noReplyDeadline = null;
		state.activity = switch (state.phase) {
			case ACCEPTED -> Activity.WAITING;
			case DISPATCHING -> Activity.SENDING;
			default -> Activity.NONE;
		};
	}

	private RecordStep proposeDueChange(MonotonicTime now, RecordState state) {
		if (state.rejectedChange != null) {
			PendingChange change = state.rejectedChange;
			state.rejectedChange = null;
			return proposeChange(state, change.entries(), change.actions());
		}
		if (state.phase == Phase.ACCEPTED) {
			return recordNotRun(state, NotRunReason.DEADLINE_PASSED, this.settings.notRunRetention().toMillis());
		}
		return proposeChange(state, List.of(new RecordEntry.Removed(state.key)), List.of());
	}

	private void addDueAction(RecordState state, List<RecordAction> actions) {
		switch (state.activity) {
			case LOOKING_UP -> actions.add(new RecordAction.LookUp(state.key, state.endpoint, state.attempt));
			case SEALING -> actions.add(new RecordAction.Seal(state.key, state.endpoint, state.attempt));
			case WAITING -> actions.add(new RecordAction.RequestSlot(state.key, state.kind));
			default -> {
			}
		}
	}

	private RecordState findAwaiting(RecordKey key, RequestId attempt, Activity activity) {
		RecordState state = this.records.get(key);
		boolean expected = state != null && state.pendingChange == null && state.rejectedChange == null
				&& state.phase == Phase.DISPATCHING && state.activity == activity && state.attempt.equals(attempt);
		return (expected) ? state : null;
	}

	private RecordStep handleKeyOutcome(MonotonicTime now, RecordState state, KeyOutcome outcome) {
		if (outcome instanceof KeyOutcome.Ran ran) {
			return recordAnswered(now, state, ran.status(), ran.contentType(), ran.body());
		}
		if (outcome instanceof KeyOutcome.Sealed) {
			// The endpoints may have crashed under the request, and lost what they ran.
			return (state.brokenAttempts < MAX_BROKEN_ATTEMPTS) ? handleNotRun(now, state) : recordUnknown(now, state);
		}
		if (outcome instanceof KeyOutcome.Running) {
			state.activity = Activity.LOOKING_UP;
			state.noReplyDeadline = null;
		}
		else if (state.noReplyDeadline == null) {
			state.noReplyDeadline = now.plus(this.settings.noReplyTimeout());
		}
		else if (!now.isBefore(state.noReplyDeadline)) {
			return recordUnknown(now, state);
		}
		state.retryAt = now.plus(this.settings.retryInterval());
		schedule(state);
		return NOTHING;
	}

	private RecordStep handleRepeatedLookUp(MonotonicTime now, RecordState state, RequestId attempt,
			KeyOutcome outcome) {
		boolean expected = state != null && state.pendingChange == null && state.rejectedChange == null
				&& state.phase == Phase.UNKNOWN && state.attempt.equals(attempt);
		if (expected && outcome instanceof KeyOutcome.Ran ran && ran.body().length <= this.settings.maxAnswerBytes()) {
			return recordAnswered(now, state, ran.status(), ran.contentType(), ran.body());
		}
		return NOTHING;
	}

	private RecordStep recordAnswered(MonotonicTime now, RecordState state, int status, String contentType,
			byte[] body) {
		if (body.length > this.settings.maxAnswerBytes()) {
			return recordUnknown(now, state);
		}
		return proposeChange(state,
				List.of(new RecordEntry.Answered(state.key, status, contentType, body, state.keepMillis(now))),
				List.of(new RecordAction.PublishOutcome(state.key,
						new RequestOutcome.Answered(status, contentType, body))));
	}

	private RecordStep recordUnknown(MonotonicTime now, RecordState state) {
		return proposeChange(state,
				List.of(new RecordEntry.Unknown(state.key, state.endpoint, state.attempt, state.keepMillis(now))),
				List.of(new RecordAction.PublishOutcome(state.key, new RequestOutcome.Unknown(state.attempt))));
	}

	private RecordStep handleNotRun(MonotonicTime now, RecordState state) {
		if (state.cancelRequested) {
			return recordNotRun(state, NotRunReason.CANCELLED, state.keepMillis(now));
		}
		return proposeChange(state, List.of(new RecordEntry.Returned(state.key)),
				List.of(new RecordAction.RequestSlot(state.key, state.kind)));
	}

	private RecordStep recordCancellation(MonotonicTime now, RecordState state) {
		if (state.phase == Phase.ACCEPTED) {
			return recordNotRun(state, NotRunReason.CANCELLED, state.keepMillis(now));
		}
		state.cancelRequested = true;
		// Not tracked as a pending change: the outcome of the attempt may arrive first,
		// and a lost entry only means that a new owner is unaware of it.
		byte[] entry = RecordEntryCodec.encode(new RecordEntry.CancelRequested(state.key));
		return new RecordStep(this.nextStep++, List.of(entry), List.of());
	}

	private RecordStep recordNotRun(RecordState state, NotRunReason reason, long keepMillis) {
		return proposeChange(state, List.of(new RecordEntry.NotRun(state.key, reason, keepMillis)),
				List.of(new RecordAction.PublishOutcome(state.key, new RequestOutcome.NotRun(reason, 0))));
	}

	private RequestOutcome.NotRun recordNotRun(NotRunReason reason) {
		long retryAfter = (reason == NotRunReason.CANCELLED) ? 0 : this.settings.retryAfterMillis();
		return new RequestOutcome.NotRun(reason, retryAfter);
	}

	private RecordAction lookUp(MonotonicTime now, RecordState state) {
		state.activity = Activity.LOOKING_UP;
		state.retryAt = null;
		state.noReplyDeadline = now.plus(this.settings.noReplyTimeout());
		return new RecordAction.LookUp(state.key, state.endpoint, state.attempt);
	}

	private void addDispatch(RecordState state, EndpointId endpoint, List<RecordEntry> entries,
			List<RecordAction> actions) {
		RequestId attempt = new RequestId(this.attemptPrefix + this.nextAttempt++);
		entries.add(new RecordEntry.Dispatching(state.key, endpoint, attempt));
		actions.add(new RecordAction.SendAttempt(state.key, state.kind, endpoint, attempt, state.body));
	}

	private void addNotification(RecordState state, KindName kind, byte[] digest, List<RecordAction> actions) {
		if (!state.kind.equals(kind) || !Arrays.equals(state.digest, digest)) {
			actions.add(new RecordAction.NotifyConflict(state.key));
		}
		else if (state.outcome != null) {
			actions.add(new RecordAction.PublishOutcome(state.key, state.outcome));
		}
		else if (state.phase != Phase.NEW) {
			actions.add(new RecordAction.NotifyAccepted(state.key));
		}
		// Before the first commit, the pending step notifies the callers on the key.
	}

	private boolean isFull(byte[] body) {
		return this.failed || this.records.size() >= this.settings.maxRecords()
				|| this.storedBytes + body.length > this.settings.maxStoredBytes();
	}

	private RecordStep proposeChange(RecordState state, List<RecordEntry> entries, List<RecordAction> actions) {
		long step = this.nextStep++;
		state.pendingChange = new PendingChange(step, entries, actions);
		this.recordsByStep.put(step, List.of(state));
		schedule(state);
		return new RecordStep(step, entries.stream().map(RecordEntryCodec::encode).toList(), List.copyOf(actions));
	}

	private RecordStep actionsOnly(List<RecordAction> actions) {
		return actions.isEmpty() ? NOTHING : new RecordStep(0, List.of(), List.copyOf(actions));
	}

	private void remove(RecordState state) {
		this.records.remove(state.key);
		if (state.phase == Phase.NEW) {
			this.storedBytes -= state.body.length;
		}
		state.phase = Phase.NEW;
	}

	private void schedule(RecordState state) {
		if (state.timer != null) {
			this.timers.remove(state.timer);
			state.timer = null;
		}
		MonotonicTime due = state.dueAt();
		if (due != null) {
			state.timer = new RecordState.Timer(due, this.nextTimer++, state);
			this.timers.add(state.timer);
		}
	}

	private static void addSlotRelease(RecordAction action, List<RecordAction> actions) {
		if (action instanceof RecordAction.SendAttempt send) {
			actions.add(new RecordAction.ReleaseSlot(send.key(), send.endpoint()));
		}
	}

}
