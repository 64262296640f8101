package io.lentilstream.requests.records;

import io.lentilstream.model.EndpointId;
import io.lentilstream.model.KindName;
import io.lentilstream.model.RequestId;
import io.lentilstream.model.RequestOutcome;

/**
 * An action that the daemon performs for {@link RequestRecords}.
 */
public sealed interface RecordAction {

	/**
	 * Notifies all callers waiting on the key that the request is recorded.
	 *
	 * @param key the key
	 */
	record NotifyAccepted(RecordKey key) implements RecordAction {
	}

	/**
	 * Notifies the callers waiting on the key that the request was not recorded and will
	 * not run. It must be performed before the key is offered again, because the caller
	 * of a later offer must not be notified.
	 *
	 * @param key the key
	 * @param outcome the reason
	 */
	record NotifyNotAccepted(RecordKey key, RequestOutcome.NotRun outcome) implements RecordAction {
	}

	/**
	 * Notifies the caller that the key belongs to another request.
	 *
	 * @param key the key
	 */
	record NotifyConflict(RecordKey key) implements RecordAction {
	}

	/**
	 * Notifies the caller that the request exceeds the maximum size of a record.
	 *
	 * @param key the key
	 * @param maxBytes the maximum body size, in bytes
	 */
	record NotifyTooLarge(RecordKey key, int maxBytes) implements RecordAction {
	}

	/**
	 * Queues the request for a free slot; the result is passed to
	 * {@link RequestRecords#dispatch}.
	 *
	 * @param key the key
	 * @param kind the kind, which determines the service
	 */
	record RequestSlot(RecordKey key, KindName kind) implements RecordAction {
	}

	/**
	 * Releases a slot that was assigned to the request and is not used.
	 *
	 * @param key the key
	 * @param endpoint the endpoint
	 */
	record ReleaseSlot(RecordKey key, EndpointId endpoint) implements RecordAction {
	}

	/**
	 * Sends the request once; the result is passed to
	 * {@link RequestRecords#attemptCompleted}.
	 *
	 * @param key the key
	 * @param kind the kind
	 * @param endpoint the endpoint
	 * @param attempt the id of the attempt, used as the correlation id
	 * @param body the body
	 */
	record SendAttempt(RecordKey key, KindName kind, EndpointId endpoint, RequestId attempt,
			byte[] body) implements RecordAction {
	}

	/**
	 * Queries the endpoint for the key; the result is passed to
	 * {@link RequestRecords#lookUpCompleted}.
	 *
	 * @param key the key
	 * @param endpoint the endpoint
	 * @param attempt the attempt that the query is about
	 */
	record LookUp(RecordKey key, EndpointId endpoint, RequestId attempt) implements RecordAction {
	}

	/**
	 * Seals the attempt at the endpoint, so that the endpoint refuses it from then on;
	 * the result is passed to {@link RequestRecords#sealed}.
	 *
	 * @param key the key
	 * @param endpoint the endpoint
	 * @param attempt the attempt to seal
	 */
	record Seal(RecordKey key, EndpointId endpoint, RequestId attempt) implements RecordAction {
	}

	/**
	 * Publishes the outcome to all callers waiting on the key and to the operator.
	 *
	 * @param key the key
	 * @param outcome the outcome
	 */
	record PublishOutcome(RecordKey key, RequestOutcome outcome) implements RecordAction {
	}

	/**
	 * Reports that the snapshot or a log entry cannot be read; the shard accepts no
	 * requests in this state.
	 *
	 * @param reason the decoding error
	 */
	record RecoveryFailed(String reason) implements RecordAction {
	}

}
