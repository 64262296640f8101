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
 * Keeps the at-most-once records of one request shard under one epoch. Each state is
 * durable before the step that depends on it: accepted before the caller is told,
 * dispatching before the first byte is sent, the outcome before it is shown. A new
 * dispatch follows only after the endpoint refused the attempt or sealed it. When the
 * shard is lost or its log is fenced, the instance is dropped with all its state. All
 * methods are thread-safe and return at once.
 */
public final class RequestRecords {

	private static final int MAX_SCOPE_LENGTH = 64;

	private static final RecordStep NOTHING = new RecordStep(0, List.of(), List.of());

	private final Object lock = new Object();

	private final RequestRecordSettings settings;

	private final String attemptPrefix;

	private final Map<RecordKey, LiveRecord> records = new LinkedHashMap<>();

	private final Map<Long, List<LiveRecord>> steps = new HashMap<>();

	private final TreeSet<LiveRecord.Timer> timers = new TreeSet<>();

	private long storedBytes;

	private long nextStep = 1;

	private long nextAttempt = 1;

	private long nextTimer = 1;

	private boolean failed;

	/**
	 * Creates the records of a shard that was just taken over. {@link #recover} comes
	 * next.
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
	 * Restores the records. Requests that were accepted want an endpoint again; for those
	 * being dispatched the endpoint is asked what became of the key.
	 * @param now the present time
	 * @param snapshot the snapshot of the log, if there is one
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
				return actions(List.of(new RecordAction.RecoveryFailed(ex.getMessage())));
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
			return actions(actions);
		}
	}

	/**
	 * Offers a request. A key that is known returns its state; the same key with another
	 * body or kind is a conflict.
	 * @param now the present time
	 * @param key the key
	 * @param kind the kind
	 * @param body the body
	 * @param digest the digest of what makes the request the same one
	 * @param keepUntil until when the record is kept
	 * @param freeSlot an endpoint with a slot taken for this request, so that accepting
	 * and dispatching go in one commit
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
					tellState(known, kind, digest, actions);
				}
				else if (body.length > this.settings.maxBodyBytes()) {
					actions.add(new RecordAction.NotifyTooLarge(key, this.settings.maxBodyBytes()));
				}
				else {
					NotRunReason reason = (this.failed) ? NotRunReason.STORE_UNAVAILABLE : NotRunReason.QUEUE_FULL;
					actions.add(new RecordAction.NotifyNotAccepted(key, notRun(reason)));
				}
				return actions(actions);
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
			return change(live, entries, actions);
		}
	}

	/**
	 * Gives a request a slot of an endpoint. An unused slot is returned.
	 * @param now the present time
	 * @param key the key
	 * @param endpoint the endpoint
	 * @return the step
	 */
	public RecordStep dispatch(MonotonicTime now, RecordKey key, EndpointId endpoint) {
		synchronized (this.lock) {
			LiveRecord live = this.records.get(key);
			boolean ready = live != null && live.pending == null && live.unsaved == null && live.phase == Phase.ACCEPTED
					&& !live.cancelRequested && now.isBefore(live.keepUntil);
			if (!ready) {
				if (live != null && live.pending != null) {
					live.wantMissed = true;
				}
				return actions(List.of(new RecordAction.ReleaseSlot(key, endpoint)));
			}
			List<RecordEntry> entries = new ArrayList<>();
			List<RecordAction> actions = new ArrayList<>();
			addDispatch(live, endpoint, entries, actions);
			return change(live, entries, actions);
		}
	}

	/**
	 * Takes the outcome of an attempt. The daemon frees the endpoint's slot itself.
	 * @param now the present time
	 * @param key the key
	 * @param attempt the attempt
	 * @param outcome the outcome
	 * @return the step
	 */
	public RecordStep attemptCompleted(MonotonicTime now, RecordKey key, RequestId attempt, EndpointOutcome outcome) {
		synchronized (this.lock) {
			LiveRecord live = awaiting(key, attempt, Activity.SENDING);
			if (live == null) {
				return NOTHING;
			}
			if (outcome instanceof EndpointOutcome.Answered answered) {
				return answered(now, live, answered.status(), answered.contentType(), answered.body());
			}
			if (outcome instanceof EndpointOutcome.Broken) {
				return actions(List.of(lookUp(now, live)));
			}
			return notRunAtEndpoint(now, live);
		}
	}

	/**
	 * Takes the outcome of a lookup.
	 * @param now the present time
	 * @param key the key
	 * @param attempt the attempt
	 * @param outcome the outcome
	 * @return the step
	 */
	public RecordStep lookUpCompleted(MonotonicTime now, RecordKey key, RequestId attempt, KeyOutcome outcome) {
		synchronized (this.lock) {
			LiveRecord live = awaiting(key, attempt, Activity.LOOKING_UP);
			if (live == null) {
				return askedAgain(now, this.records.get(key), attempt, outcome);
			}
			if (outcome instanceof KeyOutcome.Unseen) {
				live.activity = Activity.SEALING;
				live.retryAt = null;
				return actions(List.of(new RecordAction.Seal(key, live.endpoint, attempt)));
			}
			return keyKnown(now, live, outcome);
		}
	}

	/**
	 * Takes the outcome of a seal.
	 * @param now the present time
	 * @param key the key
	 * @param attempt the attempt
	 * @param outcome the outcome
	 * @return the step
	 */
	public RecordStep sealed(MonotonicTime now, RecordKey key, RequestId attempt, KeyOutcome outcome) {
		synchronized (this.lock) {
			LiveRecord live = awaiting(key, attempt, Activity.SEALING);
			return (live != null) ? keyKnown(now, live, outcome) : NOTHING;
		}
	}

	/**
	 * Cancels a request. One that is being dispatched is not repeated if its attempt
	 * turns out not to have run.
	 * @param now the present time
	 * @param key the key
	 * @return the step
	 */
	public RecordStep cancel(MonotonicTime now, RecordKey key) {
		synchronized (this.lock) {
			LiveRecord live = this.records.get(key);
			if (live == null || live.isSettled() || live.cancelRequested) {
				return NOTHING;
			}
			if (live.pending != null || live.unsaved != null) {
				live.cancelMissed = true;
				return NOTHING;
			}
			return cancelNow(now, live);
		}
	}

	/**
	 * Asks the endpoint again about a request whose outcome is unknown. Only an answer
	 * changes the record; the request is never run again.
	 * @param key the key
	 * @return the step
	 */
	public RecordStep repeatLookUp(RecordKey key) {
		synchronized (this.lock) {
			LiveRecord live = this.records.get(key);
			if (live == null || live.phase != Phase.UNKNOWN) {
				return NOTHING;
			}
			return actions(List.of(new RecordAction.LookUp(key, live.endpoint, live.attempt)));
		}
	}

	/**
	 * Returns what a caller is told about a key now. A state that is not durable yet is
	 * not told.
	 * @param key the key
	 * @return the outcome, or empty for an unknown key
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
	 * Says that the entries of a step are durable.
	 * @param now the present time
	 * @param step the id of the step
	 * @return what follows, besides the actions of the step
	 */
	public RecordStep commitCompleted(MonotonicTime now, long step) {
		synchronized (this.lock) {
			List<LiveRecord> changed = this.steps.remove(step);
			if (changed == null) {
				return NOTHING;
			}
			List<RecordAction> actions = new ArrayList<>();
			List<RecordEntry> entries = new ArrayList<>();
			List<LiveRecord> followed = new ArrayList<>();
			for (LiveRecord live : changed) {
				apply(now, live);
				if (live.cancelMissed && live.phase == Phase.ACCEPTED) {
					entries.add(new RecordEntry.NotRun(live.key, NotRunReason.CANCELLED, live.keepMillis(now)));
					actions.add(new RecordAction.PublishOutcome(live.key, notRun(NotRunReason.CANCELLED)));
					followed.add(live);
				}
				else if (live.cancelMissed && live.phase == Phase.DISPATCHING) {
					live.cancelRequested = true;
				}
				else if (live.wantMissed && live.phase == Phase.ACCEPTED) {
					actions.add(new RecordAction.RequestSlot(live.key, live.kind));
				}
				live.cancelMissed = false;
				live.wantMissed = false;
				schedule(live);
			}
			return followed.isEmpty() ? actions(actions) : change(followed.get(0), entries, actions);
		}
	}

	/**
	 * Says that the entries of a step were not written and never will be. It must not be
	 * called when the log was fenced with the commit in flight.
	 * @param now the present time
	 * @param step the id of the step
	 * @return what follows instead of the actions of the step
	 */
	public RecordStep commitRejected(MonotonicTime now, long step) {
		synchronized (this.lock) {
			List<RecordAction> actions = new ArrayList<>();
			for (LiveRecord live : this.steps.getOrDefault(step, List.of())) {
				PendingChange change = live.pending;
				live.pending = null;
				change.actions().forEach((action) -> returnSlot(action, actions));
				if (live.phase == Phase.NEW) {
					remove(live);
					actions.add(new RecordAction.NotifyNotAccepted(live.key, notRun(NotRunReason.STORE_UNAVAILABLE)));
					continue;
				}
				boolean dispatch = change.entries().get(0) instanceof RecordEntry.Dispatching;
				if (!dispatch) {
					live.unsaved = change;
				}
				live.retryAt = now.plus(this.settings.retryInterval());
				schedule(live);
			}
			this.steps.remove(step);
			return actions(actions);
		}
	}

	/**
	 * Carries out what is due: repeated lookups and seals, entries to be offered to the
	 * log again, and records whose keep deadline passed. At most one step with entries is
	 * returned per call; {@link #nextWakeUp} tells whether more is due.
	 * @param now the present time
	 * @return the step
	 */
	public RecordStep tick(MonotonicTime now) {
		synchronized (this.lock) {
			List<RecordAction> actions = new ArrayList<>();
			while (!this.timers.isEmpty() && !now.isBefore(this.timers.first().time())) {
				LiveRecord live = this.timers.first().record();
				if (live.isChangeDue(now)) {
					// Entries go in a step of their own, since a refusal drops its
					// actions.
					return actions.isEmpty() ? changeDue(now, live) : actions(actions);
				}
				this.timers.pollFirst();
				live.timer = null;
				live.retryAt = null;
				repeatDue(live, actions);
				schedule(live);
			}
			return actions(actions);
		}
	}

	/**
	 * Returns when {@link #tick} must be called next if nothing else happens.
	 * @return the time, or empty if nothing is due
	 */
	public Optional<MonotonicTime> nextWakeUp() {
		synchronized (this.lock) {
			return this.timers.isEmpty() ? Optional.empty() : Optional.of(this.timers.first().time());
		}
	}

	/**
	 * Returns the durable state of all records.
	 * @param now the present time
	 * @return the bytes for {@link #recover}
	 */
	public byte[] snapshot(MonotonicTime now) {
		synchronized (this.lock) {
			List<RecordEntry> entries = new ArrayList<>();
			this.records.values().forEach((live) -> entries.addAll(live.asEntries(now)));
			return RecordEntryCodec.encodeSnapshot(entries);
		}
	}

	/**
	 * Returns the number of records.
	 * @return the records, also those not durable yet
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
			// A snapshot may be younger than the first entries after it, so an entry may
			// belong to a record that was removed since.
			live.apply(entry, now);
		}
	}

	private void apply(MonotonicTime now, LiveRecord live) {
		PendingChange change = live.pending;
		live.pending = null;
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

	private RecordStep changeDue(MonotonicTime now, LiveRecord live) {
		if (live.unsaved != null) {
			PendingChange change = live.unsaved;
			live.unsaved = null;
			return change(live, change.entries(), change.actions());
		}
		if (live.phase == Phase.ACCEPTED) {
			return notRun(live, NotRunReason.DEADLINE_PASSED, this.settings.notRunKeep().toMillis());
		}
		return change(live, List.of(new RecordEntry.Removed(live.key)), List.of());
	}

	private void repeatDue(LiveRecord live, List<RecordAction> actions) {
		switch (live.activity) {
			case LOOKING_UP -> actions.add(new RecordAction.LookUp(live.key, live.endpoint, live.attempt));
			case SEALING -> actions.add(new RecordAction.Seal(live.key, live.endpoint, live.attempt));
			case WAITING -> actions.add(new RecordAction.RequestSlot(live.key, live.kind));
			default -> {
			}
		}
	}

	private LiveRecord awaiting(RecordKey key, RequestId attempt, Activity activity) {
		LiveRecord live = this.records.get(key);
		boolean expected = live != null && live.pending == null && live.unsaved == null
				&& live.phase == Phase.DISPATCHING && live.activity == activity && live.attempt.equals(attempt);
		return (expected) ? live : null;
	}

	private RecordStep keyKnown(MonotonicTime now, LiveRecord live, KeyOutcome outcome) {
		if (outcome instanceof KeyOutcome.Ran ran) {
			return answered(now, live, ran.status(), ran.contentType(), ran.body());
		}
		if (outcome instanceof KeyOutcome.Sealed) {
			return notRunAtEndpoint(now, live);
		}
		if (outcome instanceof KeyOutcome.Running) {
			live.activity = Activity.LOOKING_UP;
			live.giveUpAt = null;
		}
		else if (live.giveUpAt == null) {
			live.giveUpAt = now.plus(this.settings.giveUpAfter());
		}
		else if (!now.isBefore(live.giveUpAt)) {
			return unknown(now, live);
		}
		live.retryAt = now.plus(this.settings.retryInterval());
		schedule(live);
		return NOTHING;
	}

	private RecordStep askedAgain(MonotonicTime now, LiveRecord live, RequestId attempt, KeyOutcome outcome) {
		boolean expected = live != null && live.pending == null && live.unsaved == null && live.phase == Phase.UNKNOWN
				&& live.attempt.equals(attempt);
		if (expected && outcome instanceof KeyOutcome.Ran ran && ran.body().length <= this.settings.maxAnswerBytes()) {
			return answered(now, live, ran.status(), ran.contentType(), ran.body());
		}
		return NOTHING;
	}

	private RecordStep answered(MonotonicTime now, LiveRecord live, int status, String contentType, byte[] body) {
		if (body.length > this.settings.maxAnswerBytes()) {
			return unknown(now, live);
		}
		return change(live,
				List.of(new RecordEntry.Answered(live.key, status, contentType, body, live.keepMillis(now))),
				List.of(new RecordAction.PublishOutcome(live.key,
						new RequestOutcome.Answered(status, contentType, body))));
	}

	private RecordStep unknown(MonotonicTime now, LiveRecord live) {
		return change(live,
				List.of(new RecordEntry.Unknown(live.key, live.endpoint, live.attempt, live.keepMillis(now))),
				List.of(new RecordAction.PublishOutcome(live.key, new RequestOutcome.Unknown(live.attempt))));
	}

	private RecordStep notRunAtEndpoint(MonotonicTime now, LiveRecord live) {
		if (live.cancelRequested) {
			return notRun(live, NotRunReason.CANCELLED, live.keepMillis(now));
		}
		return change(live, List.of(new RecordEntry.Returned(live.key)),
				List.of(new RecordAction.RequestSlot(live.key, live.kind)));
	}

	private RecordStep cancelNow(MonotonicTime now, LiveRecord live) {
		if (live.phase == Phase.ACCEPTED) {
			return notRun(live, NotRunReason.CANCELLED, live.keepMillis(now));
		}
		live.cancelRequested = true;
		// Not tracked as a pending change: the outcome of the attempt may come first, and
		// a lost entry only means that a new owner does not know of the cancellation.
		byte[] entry = RecordEntryCodec.encode(new RecordEntry.CancelRequested(live.key));
		return new RecordStep(this.nextStep++, List.of(entry), List.of());
	}

	private RecordStep notRun(LiveRecord live, NotRunReason reason, long keepMillis) {
		return change(live, List.of(new RecordEntry.NotRun(live.key, reason, keepMillis)),
				List.of(new RecordAction.PublishOutcome(live.key, new RequestOutcome.NotRun(reason, 0))));
	}

	private RequestOutcome.NotRun notRun(NotRunReason reason) {
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

	private void tellState(LiveRecord live, KindName kind, byte[] digest, List<RecordAction> actions) {
		if (!live.kind.equals(kind) || !Arrays.equals(live.digest, digest)) {
			actions.add(new RecordAction.NotifyConflict(live.key));
		}
		else if (live.outcome != null) {
			actions.add(new RecordAction.PublishOutcome(live.key, live.outcome));
		}
		else if (live.phase != Phase.NEW) {
			actions.add(new RecordAction.NotifyAccepted(live.key));
		}
		// Before the first commit the pending step tells all callers that wait on the
		// key.
	}

	private boolean isFull(byte[] body) {
		return this.failed || this.records.size() >= this.settings.maxRecords()
				|| this.storedBytes + body.length > this.settings.maxStoredBytes();
	}

	private RecordStep change(LiveRecord live, List<RecordEntry> entries, List<RecordAction> actions) {
		long step = this.nextStep++;
		live.pending = new PendingChange(step, entries, actions);
		this.steps.put(step, List.of(live));
		schedule(live);
		return new RecordStep(step, entries.stream().map(RecordEntryCodec::encode).toList(), List.copyOf(actions));
	}

	private RecordStep actions(List<RecordAction> actions) {
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

	private static void returnSlot(RecordAction action, List<RecordAction> actions) {
		if (action instanceof RecordAction.SendAttempt send) {
			actions.add(new RecordAction.ReleaseSlot(send.key(), send.endpoint()));
		}
	}

}
