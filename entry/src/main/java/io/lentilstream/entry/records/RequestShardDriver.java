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
 * The I/O driver of one owned request shard. It recovers the records from the log, makes
 * each step durable and then performs its actions. All state is confined to the serial
 * executor of the shard.
 */
public final class RequestShardDriver implements LogListener, AutoCloseable {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final String PREFIX = "records: ";

	private static final long RETRY_AFTER_MILLIS = 1_000;

	/**
	 * Time in addition to two attempt timeouts after which a deferrable request that
	 * waits for a slot is queued again, in milliseconds. A broken attempt occupies its
	 * slot until that deadline.
	 */
	private static final long SLOT_WAIT_MARGIN_MILLIS = 5_000;

	private static final long RECHECK_INTERVAL_MILLIS = 200;

	private final ShardId id;

	private final RequestRecords records;

	private final Environment environment;

	private final Executor serial;

	private final LogDriver log;

	private final WakeUpTimer timer;

	private final Map<RecordKey, Queue<CompletableFuture<RecordResponse>>> callers = new HashMap<>();

	private final Map<RecordKey, Slot> slots = new HashMap<>();

	private Consumer<Boolean> releaseCallback;

	private int endpointCallsInFlight;

	private boolean recovered;

	private boolean closed;

	/**
	 * Creates a driver and starts the recovery of the shard.
	 * @param id the shard
	 * @param records the state machine of the records
	 * @param log the log of the shard
	 * @param environment the components that all request shards share
	 * @param serial the serial executor of the shard
	 */
	public RequestShardDriver(ShardId id, RequestRecords records, ShardLog log, Environment environment,
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
	 * Records a request unless its key is already known.
	 * @param key the key
	 * @param kind the kind
	 * @param body the body
	 * @param retentionMillis the retention of the record, in milliseconds
	 * @return the response; never completes exceptionally
	 */
	public CompletableFuture<RecordResponse> offer(RecordKey key, KindName kind, byte[] body, long retentionMillis) {
		CompletableFuture<RecordResponse> caller = new CompletableFuture<>();
		this.serial.execute(() -> {
			if (this.closed || !this.recovered || this.releaseCallback != null) {
				caller.complete(notRun(NotRunReason.OWNER_UNAVAILABLE));
				return;
			}
			if (!this.log.acceptsNewWork() && this.records.findOutcome(key).isEmpty()) {
				caller.complete(notRun(NotRunReason.STORE_UNAVAILABLE));
				return;
			}
			this.callers.computeIfAbsent(key, (unused) -> new ArrayDeque<>()).add(caller);
			runStep((now) -> this.records.offer(now, key, kind, body, digest(kind, body),
					now.plusMillis(retentionMillis), Optional.empty()), caller);
		});
		return caller;
	}

	/**
	 * Returns the known outcome of a key. If that is an unknown outcome, the endpoint is
	 * also queried again, for the benefit of later calls.
	 * @param key the key
	 * @return the response; never completes exceptionally
	 */
	public CompletableFuture<RecordResponse> findOutcome(RecordKey key) {
		CompletableFuture<RecordResponse> caller = new CompletableFuture<>();
		this.serial.execute(() -> {
			if (this.closed || !this.recovered) {
				caller.complete(notRun(NotRunReason.OWNER_UNAVAILABLE));
				return;
			}
			Optional<RequestOutcome> outcome = this.records.findOutcome(key);
			if (outcome.isPresent() && outcome.get() instanceof RequestOutcome.Unknown) {
				runStep((now) -> this.records.repeatLookUp(key), null);
			}
			caller.complete(
					outcome.<RecordResponse>map(RecordResponse.Outcome::new).orElseGet(RecordResponse.NotFound::new));
		});
		return caller;
	}

	/**
	 * Stops accepting work, and notifies the callback once the log is idle and no
	 * endpoint call is in flight.
	 * @param onPrepared receives {@code true}, because a request shard holds back nothing
	 * for an earlier owner
	 */
	public void prepareRelease(Consumer<Boolean> onPrepared) {
		this.serial.execute(() -> {
			this.releaseCallback = onPrepared;
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
		runStep((now) -> this.records.recover(now, snapshot, entries), null);
		logger.atInfo().log(PREFIX + "recovered shard %s with %d records.", this.id, this.records.size());
	}

	@Override
	public byte[] snapshot() {
		return this.records.snapshot(this.environment.clock().now());
	}

	@Override
	public void fenced() {
		logger.atWarning().log(PREFIX + "shard %s was fenced by a newer owner.", this.id);
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

	// The request of a waiting caller may or may not be recorded, which only the new
	// owner can tell, so its outcome is unknown.
	private void stop() {
		this.closed = true;
		this.log.close();
		this.timer.close();
		this.callers.forEach((key, queue) -> queue.forEach((caller) -> caller
			.complete(new RecordResponse.Outcome(new RequestOutcome.Unknown(new RequestId(key.key().value()))))));
		this.callers.clear();
		this.slots.values().forEach(Slot::releaseUnused);
		this.slots.clear();
	}

	private void tick() {
		runStep(this.records::tick, null);
		releaseIfIdle();
	}

	private void releaseIfIdle() {
		if (this.releaseCallback == null || this.closed) {
			return;
		}
		if (this.log.isIdle() && this.endpointCallsInFlight == 0) {
			this.releaseCallback.accept(true);
			return;
		}
		this.environment.timers()
			.schedule(() -> this.serial.execute(this::releaseIfIdle), RECHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void runStep(Function<MonotonicTime, RecordStep> input, CompletableFuture<RecordResponse> caller) {
		if (this.closed) {
			return;
		}
		performWhenDurable(input.apply(this.environment.clock().now()), caller);
		this.timer.scheduleAt(this.records.nextWakeUp());
	}

	private void performWhenDurable(RecordStep step, CompletableFuture<RecordResponse> caller) {
		if (step.entries().isEmpty()) {
			step.actions().forEach((action) -> perform(action, caller));
			return;
		}
		this.log.tryAppend(step.entries(), () -> {
			runStep((now) -> this.records.commitCompleted(now, step.id()), null);
			step.actions().forEach((action) -> perform(action, null));
		}, () -> runStep((now) -> this.records.commitRejected(now, step.id()), null));
	}

	private void perform(RecordAction action, CompletableFuture<RecordResponse> caller) {
		if (action instanceof RecordAction.NotifyAccepted notification) {
			completeCallers(notification.key(),
					new RecordResponse.Outcome(new RequestOutcome.Accepted(notification.key().key())));
		}
		else if (action instanceof RecordAction.NotifyNotAccepted notification) {
			completeCallers(notification.key(), new RecordResponse.Outcome(notification.outcome()));
		}
		else if (action instanceof RecordAction.PublishOutcome notification) {
			completeCallers(notification.key(), new RecordResponse.Outcome(notification.outcome()));
		}
		else if (action instanceof RecordAction.NotifyConflict notification) {
			completeCaller(notification.key(), caller, new RecordResponse.Conflict());
		}
		else if (action instanceof RecordAction.NotifyTooLarge notification) {
			completeCaller(notification.key(), caller, new RecordResponse.TooLarge(notification.maxBytes()));
		}
		else if (action instanceof RecordAction.RecoveryFailed notification) {
			failed(notification.reason());
		}
		else {
			performCall(action);
		}
	}

	private void performCall(RecordAction action) {
		if (action instanceof RecordAction.RequestSlot slotRequest) {
			requestSlot(slotRequest);
		}
		else if (action instanceof RecordAction.ReleaseSlot releaseSlot) {
			this.slots.remove(releaseSlot.key()).releaseUnused();
		}
		else if (action instanceof RecordAction.SendAttempt send) {
			send(send);
		}
		else if (action instanceof RecordAction.LookUp lookUp) {
			trackCall(this.environment.endpoints().lookUp(lookUp.endpoint(), lookUp.key().key()), (outcome) -> runStep(
					(now) -> this.records.lookUpCompleted(now, lookUp.key(), lookUp.attempt(), outcome), null));
		}
		else if (action instanceof RecordAction.Seal seal) {
			trackCall(this.environment.endpoints().seal(seal.endpoint(), seal.key().key(), seal.attempt()),
					(outcome) -> runStep((now) -> this.records.sealed(now, seal.key(), seal.attempt(), outcome), null));
		}
	}

	private void requestSlot(RecordAction.RequestSlot slotRequest) {
		Optional<DeferrableKind> kind = this.environment.kinds().find(slotRequest.key().team(), slotRequest.kind());
		if (kind.isEmpty() || this.releaseCallback != null) {
			requestSlotLater(slotRequest, RECHECK_INTERVAL_MILLIS);
			return;
		}
		MonotonicTime deadline = this.environment.clock()
			.now()
			.plusMillis(2 * kind.get().timeoutMillis() + SLOT_WAIT_MARGIN_MILLIS);
		// Marked as forwarded so that the scheduler does not forward it: only endpoints
		// of this entry VM can be recorded.
		IncomingRequest request = new IncomingRequest(this.environment.ids().next(), kind.get().service(),
				Urgency.DEFERRABLE, deadline, false, true, 0);
		this.environment.requests().requestSlot(request, new SlotHandler() {

			@Override
			public void granted(EndpointId endpoint, Slot slot, MonotonicTime deadline) {
				RequestShardDriver.this.serial
					.execute(() -> RequestShardDriver.this.granted(slotRequest, endpoint, slot, deadline));
			}

			@Override
			public void refused(NotRunReason reason, long retryAfterMillis) {
				RequestShardDriver.this.serial.execute(() -> requestSlotLater(slotRequest, retryAfterMillis));
			}

		});
	}

	private void granted(RecordAction.RequestSlot slotRequest, EndpointId endpoint, Slot slot, MonotonicTime deadline) {
		boolean tooLate = this.environment.clock()
			.now()
			.plusMillis(timeoutMillis(slotRequest.key(), slotRequest.kind()))
			.isAfter(deadline);
		if (this.closed || this.releaseCallback != null || tooLate) {
			slot.releaseUnused();
			requestSlotLater(slotRequest, RECHECK_INTERVAL_MILLIS);
			return;
		}
		this.slots.put(slotRequest.key(), slot);
		runStep((now) -> this.records.dispatch(now, slotRequest.key(), endpoint), null);
	}

	private void requestSlotLater(RecordAction.RequestSlot slotRequest, long afterMillis) {
		if (this.closed) {
			return;
		}
		this.environment.timers()
			.schedule(() -> this.serial.execute(() -> requestSlot(slotRequest)),
					Math.max(afterMillis, RECHECK_INTERVAL_MILLIS), TimeUnit.MILLISECONDS);
	}

	private void send(RecordAction.SendAttempt send) {
		Slot slot = this.slots.remove(send.key());
		long timeout = timeoutMillis(send.key(), send.kind());
		EndpointRequest request = new EndpointRequest(send.attempt(), Optional.of(send.key().key()), "POST",
				"/" + send.kind().value(), Map.of("content-type", "application/octet-stream"), send.body(), timeout);
		trackCall(this.environment.endpoints().send(send.endpoint(), request), (outcome) -> {
			releaseSlotAfter(slot, outcome);
			runStep((now) -> this.records.attemptCompleted(now, send.key(), send.attempt(), outcome), null);
		});
	}

	private long timeoutMillis(RecordKey key, KindName kind) {
		return this.environment.kinds()
			.find(key.team(), kind)
			.map(DeferrableKind::timeoutMillis)
			.orElse(SLOT_WAIT_MARGIN_MILLIS);
	}

	private static void releaseSlotAfter(Slot slot, EndpointOutcome outcome) {
		if (slot != null) {
			slot.releaseAfter(outcome);
		}
	}

	private <T> void trackCall(CompletableFuture<T> call, Consumer<T> then) {
		this.endpointCallsInFlight++;
		call.thenAccept((outcome) -> this.serial.execute(() -> {
			this.endpointCallsInFlight--;
			then.accept(outcome);
		}));
	}

	private void completeCallers(RecordKey key, RecordResponse response) {
		Queue<CompletableFuture<RecordResponse>> queue = this.callers.remove(key);
		if (queue != null) {
			queue.forEach((caller) -> caller.complete(response));
		}
	}

	private void completeCaller(RecordKey key, CompletableFuture<RecordResponse> caller, RecordResponse response) {
		Queue<CompletableFuture<RecordResponse>> queue = this.callers.get(key);
		if (caller == null || queue == null || !queue.remove(caller)) {
			throw new IllegalStateException("no caller is waiting for the outcome of " + key);
		}
		if (queue.isEmpty()) {
			this.callers.remove(key);
		}
		caller.complete(response);
	}

	private static RecordResponse notRun(NotRunReason reason) {
		return new RecordResponse.Outcome(new RequestOutcome.NotRun(reason, RETRY_AFTER_MILLIS));
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
	 * The components that all request shards share.
	 *
	 * @param store the store of the logs
	 * @param endpoints the client of the endpoints
	 * @param requests grants slots of endpoints
	 * @param kinds finds kinds in the settings in force
	 * @param ids generates the ids of slot requests
	 * @param clock the monotonic clock
	 * @param timers schedules steps and retries
	 */
	public record Environment(StoreClient store, EndpointClient endpoints, RequestDriver requests,
			DeferrableKindDirectory kinds, RequestIds ids, MonotonicClock clock, ScheduledExecutorService timers) {
	}

}
