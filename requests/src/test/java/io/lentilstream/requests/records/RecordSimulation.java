package io.lentilstream.requests.records;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.lentilstream.clients.EndpointOutcome;
import io.lentilstream.clients.KeyOutcome;
import io.lentilstream.model.EndpointId;
import io.lentilstream.model.Epoch;
import io.lentilstream.model.IdempotencyKey;
import io.lentilstream.model.KindName;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.NotRunReason;
import io.lentilstream.model.RequestId;
import io.lentilstream.model.RequestOutcome;
import io.lentilstream.model.ShardId;
import io.lentilstream.model.TeamId;

/**
 * Simulates a sequence of owners of the records, one at a time, with a durable log,
 * endpoints that remember keys, and a network that loses replies and delays requests.
 */
final class RecordSimulation {

	static final KindName KIND = new KindName("settle");

	private static final RequestRecordSettings SETTINGS = RequestRecordSettings.defaults();

	final List<byte[]> log = new ArrayList<>();

	byte[] snapshot;

	/** Number of runs of each key at the endpoints. */
	final Map<RecordKey, Integer> runs = new HashMap<>();

	final Map<RecordKey, Set<RequestOutcome>> outcomes = new HashMap<>();

	final Deque<RecordStep> uncommitted = new ArrayDeque<>();

	final Deque<RecordAction> pendingActions = new ArrayDeque<>();

	/** Attempts that were sent and have not arrived yet. */
	final Deque<RecordAction.SendAttempt> delayedAttempts = new ArrayDeque<>();

	private final Set<RequestId> sealed = new HashSet<>();

	private final Map<RequestId, RecordKey> ran = new HashMap<>();

	private final Set<EndpointId> removedEndpoints = new HashSet<>();

	MonotonicTime now = MonotonicTime.ofMillis(0);

	RequestRecords records;

	private long epoch;

	private int endpoints;

	RecordSimulation() {
		restartOwner();
	}

	static RecordKey key(int index) {
		return new RecordKey(new TeamId("hearth"), new IdempotencyKey("k" + index));
	}

	/**
	 * Replaces the owner by a new one that recovers from the snapshot and the log.
	 */
	void restartOwner() {
		this.uncommitted.clear();
		this.pendingActions.clear();
		this.records = new RequestRecords(SETTINGS, new ShardId("region", 0), new Epoch(++this.epoch));
		addStep(this.records.recover(this.now, Optional.ofNullable(this.snapshot), this.log));
	}

	void offer(RecordKey key, boolean slotFree) {
		byte[] body = key.key().value().getBytes(java.nio.charset.StandardCharsets.UTF_8);
		// A caller that got "not accepted" may offer the key again.
		this.outcomes.getOrDefault(key, new HashSet<>()).removeIf(RecordSimulation::isNotAccepted);
		Optional<EndpointId> slot = slotFree ? Optional.of(nextEndpoint()) : Optional.empty();
		addStep(this.records.offer(this.now, key, KIND, body, body, this.now.plusMillis(100_000_000), slot));
	}

	void takeSnapshot() {
		this.snapshot = this.records.snapshot(this.now);
		this.log.clear();
	}

	void addStep(RecordStep step) {
		if (!step.entries().isEmpty()) {
			this.uncommitted.add(step);
		}
		else {
			step.actions().forEach((action) -> {
				if (action instanceof RecordAction.NotifyNotAccepted refused) {
					addOutcome(refused.key(), refused.outcome());
				}
				else {
					this.pendingActions.add(action);
				}
			});
		}
	}

	/**
	 * Makes the first uncommitted step durable.
	 * @param known whether the owner is notified
	 */
	void commit(boolean known) {
		RecordStep step = this.uncommitted.poll();
		if (step == null) {
			return;
		}
		this.log.addAll(step.entries());
		if (known) {
			RecordStep follow = this.records.commitCompleted(this.now, step.id());
			this.pendingActions.addAll(step.actions());
			addStep(follow);
		}
	}

	void rejectCommit() {
		RecordStep step = this.uncommitted.poll();
		if (step != null) {
			addStep(this.records.commitRejected(this.now, step.id()));
		}
	}

	void tick(long millis) {
		this.now = this.now.plusMillis(millis);
		addStep(this.records.tick(this.now));
	}

	/**
	 * Performs the first pending action.
	 * @param fault the fault to inject
	 */
	void performAction(Fault fault) {
		RecordAction action = this.pendingActions.poll();
		if (action instanceof RecordAction.RequestSlot request) {
			addStep(this.records.dispatch(this.now, request.key(), nextEndpoint()));
		}
		else if (action instanceof RecordAction.SendAttempt send) {
			addStep(this.records.attemptCompleted(this.now, send.key(), send.attempt(), send(send, fault)));
		}
		else if (action instanceof RecordAction.LookUp lookUp) {
			KeyOutcome outcome = (fault == Fault.NO_REPLY) ? new KeyOutcome.NoReply("timeout")
					: keyOutcome(lookUp.key(), lookUp.endpoint(), new KeyOutcome.Unseen());
			addStep(this.records.lookUpCompleted(this.now, lookUp.key(), lookUp.attempt(), outcome));
		}
		else if (action instanceof RecordAction.Seal seal) {
			KeyOutcome outcome = keyOutcome(seal.key(), seal.endpoint(), new KeyOutcome.Sealed());
			if (outcome instanceof KeyOutcome.Sealed) {
				this.sealed.add(seal.attempt());
			}
			boolean lost = fault == Fault.NO_REPLY;
			addStep(this.records.sealed(this.now, seal.key(), seal.attempt(),
					lost ? new KeyOutcome.NoReply("timeout") : outcome));
		}
		else if (action instanceof RecordAction.PublishOutcome publish) {
			addOutcome(publish.key(), publish.outcome());
		}
		else if (action instanceof RecordAction.RecoveryFailed failed) {
			throw new AssertionError(failed.reason());
		}
	}

	void deliverDelayed() {
		RecordAction.SendAttempt send = this.delayedAttempts.poll();
		if (send != null) {
			run(send);
		}
	}

	void removeEndpoint(int index) {
		this.removedEndpoints.add(new EndpointId("e" + index));
	}

	/**
	 * Checks that no key ran twice and that no caller got "not run" for a key that ran.
	 */
	void checkInvariants() {
		this.runs.forEach((key, count) -> {
			if (count > 1) {
				throw new AssertionError(key + " ran " + count + " times");
			}
			this.outcomes.getOrDefault(key, Set.of()).forEach((outcome) -> {
				if (outcome instanceof RequestOutcome.NotRun) {
					throw new AssertionError(key + " ran, but " + outcome + " was reported");
				}
			});
		});
	}

	private EndpointOutcome send(RecordAction.SendAttempt send, Fault fault) {
		if (fault == Fault.NOT_SENT) {
			return new EndpointOutcome.NotSent("no connection");
		}
		if (fault == Fault.DELAYED) {
			this.delayedAttempts.add(send);
			return new EndpointOutcome.Broken("timeout");
		}
		if (fault == Fault.REFUSED || !run(send)) {
			return new EndpointOutcome.Refused(false);
		}
		if (fault == Fault.NO_REPLY) {
			return new EndpointOutcome.Broken("connection closed");
		}
		return new EndpointOutcome.Answered(200, "text/plain", answer(send.key()));
	}

	private boolean run(RecordAction.SendAttempt send) {
		if (this.sealed.contains(send.attempt()) || this.removedEndpoints.contains(send.endpoint())) {
			return false;
		}
		this.ran.put(send.attempt(), send.key());
		this.runs.merge(send.key(), 1, Integer::sum);
		return true;
	}

	private KeyOutcome keyOutcome(RecordKey key, EndpointId endpoint, KeyOutcome otherwise) {
		if (this.removedEndpoints.contains(endpoint)) {
			return new KeyOutcome.NoReply("connection refused");
		}
		return this.ran.containsValue(key) ? new KeyOutcome.Ran(200, "text/plain", answer(key)) : otherwise;
	}

	private void addOutcome(RecordKey key, RequestOutcome outcome) {
		this.outcomes.computeIfAbsent(key, (absent) -> new HashSet<>()).add(outcome);
	}

	private static boolean isNotAccepted(RequestOutcome outcome) {
		return outcome instanceof RequestOutcome.NotRun notRun && notRun.reason() == NotRunReason.STORE_UNAVAILABLE;
	}

	private EndpointId nextEndpoint() {
		return new EndpointId("e" + (this.endpoints++ % 3));
	}

	private static byte[] answer(RecordKey key) {
		return ("answer to " + key.key()).getBytes(java.nio.charset.StandardCharsets.UTF_8);
	}

	enum Fault {

		NONE, NO_REPLY, NOT_SENT, DELAYED, REFUSED

	}

}
