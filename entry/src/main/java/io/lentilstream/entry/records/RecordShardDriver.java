package io.lentilstream.entry.records;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;

import com.google.common.flogger.FluentLogger;

import io.lentilstream.clients.EndpointClient;
import io.lentilstream.clients.EndpointOutcome;
import io.lentilstream.clients.EndpointRequest;
import io.lentilstream.clients.StoreClient;
import io.lentilstream.entry.requests.RequestDriver;
import io.lentilstream.entry.requests.RequestIds;
import io.lentilstream.entry.requests.Slot;
import io.lentilstream.entry.requests.SlotHandler;
import io.lentilstream.entry.shards.LogDriver;
import io.lentilstream.entry.shards.LogListener;
import io.lentilstream.entry.timer.WakeUpTimer;
import io.lentilstream.model.EndpointId;
import io.lentilstream.model.KindName;
import io.lentilstream.model.MonotonicClock;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.NotRunReason;
import io.lentilstream.model.RequestId;
import io.lentilstream.model.RequestOutcome;
import io.lentilstream.model.ShardId;
import io.lentilstream.model.Urgency;
import io.lentilstream.requests.IncomingRequest;
import io.lentilstream.requests.records.RecordAction;
import io.lentilstream.requests.records.RecordKey;
import io.lentilstream.requests.records.RecordStep;
import io.lentilstream.requests.records.RequestRecords;
import io.lentilstream.shards.log.ShardLog;

/**
 * Runs one owned request shard: recovers its records from the log, makes each step
 * durable and then carries out its actions. All state is used on the serial executor of
 * the shard.
 */
public final class RecordShardDriver implements LogListener, AutoCloseable {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final String PREFIX = "records: ";

	private static final long RETRY_AFTER_MILLIS = 1_000;

	/**
	 * Time beside two attempts that a deferrable request waits for a slot before it
	 * queues again, in milliseconds. A broken attempt holds its slot until then.
	 */
	private static final long SLOT_WAIT_MILLIS = 5_000;

	private static final long WANT_AGAIN_MILLIS = 200;

	private final ShardId id;

	private final RequestRecords records;

	private final Environment environment;

	private final Executor serial;

	private final LogDriver log;

	private final WakeUpTimer timer;

	private final Map<RecordKey, Queue<CompletableFuture<WorkOutcome>>> callers = new HashMap<>();

	private final Map<RecordKey, Slot> slots = new HashMap<>();

	private Consumer<Boolean> release;

	private int callsInFlight;

	private boolean recovered;

	private boolean closed;

	/**
	 * Creates a driver and starts the recovery.
	 * @param id the shard
	 * @param records decides
	 * @param log the log of the shard
	 * @param environment what all request shards share
	 * @param serial the serial executor of the shard
	 */
	public RecordShardDriver(ShardId id, RequestRecords records, ShardLog log, Environment environment,
			Executor serial) {
		this.id = id;
		this.records = records;
		this.environment = environment;
		this.serial = serial;
		this.log = new LogDriver(log, environment.store(), this, environment.clock(), serial, environment.timers());
		this.timer = new WakeUpTimer(environment.timers(), environment.clock(), () -> serial.execute(this::tick));
		serial.execute(this.log::tick);
	}

	/**
	 * Offers a request.
	 * @param key the key
	 * @param kind the kind
	 * @param body the body
	 * @param keepMillis milliseconds that the record is kept
	 * @return the outcome; never completes exceptionally
	 */
	public CompletableFuture<WorkOutcome> offer(RecordKey key, KindName kind, byte[] body, long keepMillis) {
		CompletableFuture<WorkOutcome> caller = new CompletableFuture<>();
		this.serial.execute(() -> {
			if (this.closed || !this.recovered || this.release != null) {
				caller.complete(notRun(NotRunReason.OWNER_UNAVAILABLE));
				return;
			}
			if (!this.log.acceptsNewWork() && this.records.findOutcome(key).isEmpty()) {
				caller.complete(notRun(NotRunReason.STORE_UNAVAILABLE));
				return;
			}
			this.callers.computeIfAbsent(key, (unused) -> new ArrayDeque<>()).add(caller);
			step((now) -> this.records.offer(now, key, kind, body, digest(kind, body), now.plusMillis(keepMillis),
					Optional.empty()), caller);
		});
		return caller;
	}

	/**
	 * Returns what is known about a key.
	 * @param key the key
	 * @return the outcome; never completes exceptionally
	 */
	public CompletableFuture<WorkOutcome> look(RecordKey key) {
		CompletableFuture<WorkOutcome> caller = new CompletableFuture<>();
		this.serial.execute(() -> {
			if (this.closed || !this.recovered) {
				caller.complete(notRun(NotRunReason.OWNER_UNAVAILABLE));
				return;
			}
			Optional<RequestOutcome> outcome = this.records.findOutcome(key);
			if (outcome.isPresent() && outcome.get() instanceof RequestOutcome.Unknown) {
				step((now) -> this.records.repeatLookUp(key), null);
			}
			caller.complete(outcome.<WorkOutcome>map(WorkOutcome.Told::new).orElseGet(WorkOutcome.NotFound::new));
		});
		return caller;
	}

	/**
	 * Stops new work and tells when the log is idle and no attempt is under way.
	 * @param ready is told that nothing is held back
	 */
	public void prepareRelease(Consumer<Boolean> ready) {
		this.serial.execute(() -> {
			this.release = ready;
			releaseIfIdle();
		});
	}

	/**
	 * Returns the number of records.
	 * @return the count
	 */
	public int size() {
		return this.records.size();
	}

	@Override
	public void recovered(Optional<byte[]> snapshot, List<byte[]> entries) {
		this.recovered = true;
		step((now) -> this.records.recover(now, snapshot, entries), null);
		logger.atInfo().log(PREFIX + "recovered shard %s with %d records.", this.id, this.records.size());
	}

	@Override
	public byte[] snapshot() {
		return this.records.snapshot(this.environment.clock().now());
	}

	@Override
	public void fenced() {
		logger.atWarning().log(PREFIX + "shard %s has a newer owner.", this.id);
		stop();
	}

	@Override
	public void failed(String reason) {
		logger.atSevere().log(PREFIX + "cannot read the log of shard %s: %s.", this.id, reason);
		stop();
	}

	@Override
	public void close() {
		this.serial.execute(this::stop);
	}

	// A caller whose request may be recorded is told "unknown"; the new owner knows.
	private void stop() {
		this.closed = true;
		this.log.close();
		this.timer.close();
		this.callers.forEach((key, queue) -> queue.forEach((caller) -> caller
			.complete(new WorkOutcome.Told(new RequestOutcome.Unknown(new RequestId(key.key().value()))))));
		this.callers.clear();
		this.slots.values().forEach(Slot::unused);
		this.slots.clear();
	}

	private void tick() {
		step(this.records::tick, null);
		releaseIfIdle();
	}

	private void releaseIfIdle() {
		if (this.release == null || this.closed) {
			return;
		}
		if (this.log.isIdle() && this.callsInFlight == 0) {
			this.release.accept(true);
			return;
		}
		this.environment.timers()
			.schedule(() -> this.serial.execute(this::releaseIfIdle), WANT_AGAIN_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void step(Function<MonotonicTime, RecordStep> input, CompletableFuture<WorkOutcome> caller) {
		if (this.closed) {
			return;
		}
		follow(input.apply(this.environment.clock().now()), caller);
		this.timer.wakeAt(this.records.nextWakeUp());
	}

	private void follow(RecordStep step, CompletableFuture<WorkOutcome> caller) {
		if (step.entries().isEmpty()) {
			step.actions().forEach((action) -> perform(action, caller));
			return;
		}
		this.log.tryAppend(step.entries(), () -> {
			step((now) -> this.records.commitCompleted(now, step.id()), null);
			step.actions().forEach((action) -> perform(action, null));
		}, () -> step((now) -> this.records.commitRejected(now, step.id()), null));
	}

	private void perform(RecordAction action, CompletableFuture<WorkOutcome> caller) {
		if (action instanceof RecordAction.NotifyAccepted told) {
			tell(told.key(), new WorkOutcome.Told(new RequestOutcome.Accepted(told.key().key())));
		}
		else if (action instanceof RecordAction.NotifyNotAccepted told) {
			tell(told.key(), new WorkOutcome.Told(told.outcome()));
		}
		else if (action instanceof RecordAction.PublishOutcome told) {
			tell(told.key(), new WorkOutcome.Told(told.outcome()));
		}
		else if (action instanceof RecordAction.NotifyConflict told) {
			tellOne(told.key(), caller, new WorkOutcome.Conflict());
		}
		else if (action instanceof RecordAction.NotifyTooLarge told) {
			tellOne(told.key(), caller, new WorkOutcome.TooLarge(told.maxBytes()));
		}
		else if (action instanceof RecordAction.RecoveryFailed told) {
			failed(told.reason());
		}
		else {
			call(action);
		}
	}

	private void call(RecordAction action) {
		if (action instanceof RecordAction.RequestSlot want) {
			want(want);
		}
		else if (action instanceof RecordAction.ReleaseSlot unused) {
			this.slots.remove(unused.key()).unused();
		}
		else if (action instanceof RecordAction.SendAttempt send) {
			send(send);
		}
		else if (action instanceof RecordAction.LookUp lookUp) {
			track(this.environment.endpoints().lookUp(lookUp.endpoint(), lookUp.key().key()), (outcome) -> step(
					(now) -> this.records.lookUpCompleted(now, lookUp.key(), lookUp.attempt(), outcome), null));
		}
		else if (action instanceof RecordAction.Seal seal) {
			track(this.environment.endpoints().seal(seal.endpoint(), seal.key().key(), seal.attempt()),
					(outcome) -> step((now) -> this.records.sealed(now, seal.key(), seal.attempt(), outcome), null));
		}
	}

	private void want(RecordAction.RequestSlot want) {
		Optional<WorkKind> kind = this.environment.kinds().find(want.key().team(), want.kind());
		if (kind.isEmpty() || this.release != null) {
			wantAgain(want, WANT_AGAIN_MILLIS);
			return;
		}
		MonotonicTime deadline = this.environment.clock()
			.now()
			.plusMillis(2 * kind.get().timeoutMillis() + SLOT_WAIT_MILLIS);
		// Marked as forwarded, since only endpoints of this entry VM can be recorded.
		IncomingRequest request = new IncomingRequest(this.environment.ids().next(), kind.get().service(),
				Urgency.DEFERRABLE, deadline, false, true, 0);
		this.environment.requests().requestSlot(request, new SlotHandler() {

			@Override
			public void granted(EndpointId endpoint, Slot slot, MonotonicTime deadline) {
				RecordShardDriver.this.serial
					.execute(() -> RecordShardDriver.this.granted(want, endpoint, slot, deadline));
			}

			@Override
			public void refused(NotRunReason reason, long retryAfterMillis) {
				RecordShardDriver.this.serial.execute(() -> wantAgain(want, retryAfterMillis));
			}

		});
	}

	private void granted(RecordAction.RequestSlot want, EndpointId endpoint, Slot slot, MonotonicTime deadline) {
		boolean late = this.environment.clock()
			.now()
			.plusMillis(timeoutMillis(want.key(), want.kind()))
			.isAfter(deadline);
		if (this.closed || this.release != null || late) {
			slot.unused();
			wantAgain(want, WANT_AGAIN_MILLIS);
			return;
		}
		this.slots.put(want.key(), slot);
		step((now) -> this.records.dispatch(now, want.key(), endpoint), null);
	}

	private void wantAgain(RecordAction.RequestSlot want, long afterMillis) {
		if (this.closed) {
			return;
		}
		this.environment.timers()
			.schedule(() -> this.serial.execute(() -> want(want)), Math.max(afterMillis, WANT_AGAIN_MILLIS),
					TimeUnit.MILLISECONDS);
	}

	private void send(RecordAction.SendAttempt send) {
		Slot slot = this.slots.remove(send.key());
		long timeout = timeoutMillis(send.key(), send.kind());
		EndpointRequest request = new EndpointRequest(send.attempt(), Optional.of(send.key().key()), "POST",
				"/" + send.kind().value(), Map.of("content-type", "application/octet-stream"), send.body(), timeout);
		track(this.environment.endpoints().send(send.endpoint(), request), (outcome) -> {
			freeSlot(slot, outcome);
			step((now) -> this.records.attemptCompleted(now, send.key(), send.attempt(), outcome), null);
		});
	}

	private long timeoutMillis(RecordKey key, KindName kind) {
		return this.environment.kinds().find(key.team(), kind).map(WorkKind::timeoutMillis).orElse(SLOT_WAIT_MILLIS);
	}

	private static void freeSlot(Slot slot, EndpointOutcome outcome) {
		if (slot != null) {
			slot.completed(outcome);
		}
	}

	private <T> void track(CompletableFuture<T> call, Consumer<T> then) {
		this.callsInFlight++;
		call.thenAccept((outcome) -> this.serial.execute(() -> {
			this.callsInFlight--;
			then.accept(outcome);
		}));
	}

	private void tell(RecordKey key, WorkOutcome outcome) {
		Queue<CompletableFuture<WorkOutcome>> queue = this.callers.remove(key);
		if (queue != null) {
			queue.forEach((caller) -> caller.complete(outcome));
		}
	}

	private void tellOne(RecordKey key, CompletableFuture<WorkOutcome> caller, WorkOutcome outcome) {
		Queue<CompletableFuture<WorkOutcome>> queue = this.callers.get(key);
		if (caller == null || queue == null || !queue.remove(caller)) {
			throw new IllegalStateException("nobody waits for the outcome of " + key);
		}
		if (queue.isEmpty()) {
			this.callers.remove(key);
		}
		caller.complete(outcome);
	}

	private static WorkOutcome notRun(NotRunReason reason) {
		return new WorkOutcome.Told(new RequestOutcome.NotRun(reason, RETRY_AFTER_MILLIS));
	}

	private static byte[] digest(KindName kind, byte[] body) {
		try {
			MessageDigest digest = MessageDigest.getInstance("SHA-256");
			digest.update((kind.value() + "/").getBytes(StandardCharsets.UTF_8));
			return digest.digest(body);
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is missing in this runtime", ex);
		}
	}

	/**
	 * Holds what all request shards share.
	 *
	 * @param store the store of the logs
	 * @param endpoints sends attempts
	 * @param requests queues for slots
	 * @param kinds finds kinds in the settings in force
	 * @param ids numbers requests for slots
	 * @param clock tells the time
	 * @param timers schedules steps
	 */
	public record Environment(StoreClient store, EndpointClient endpoints, RequestDriver requests,
			WorkKindDirectory kinds, RequestIds ids, MonotonicClock clock, ScheduledExecutorService timers) {
	}

}
