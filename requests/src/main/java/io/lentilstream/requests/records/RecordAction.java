package io.lentilstream.requests.records;

import io.lentilstream.model.EndpointId;
import io.lentilstream.model.KindName;
import io.lentilstream.model.RequestId;
import io.lentilstream.model.RequestOutcome;

/**
 * Is what the daemon does for {@link RequestRecords}.
 */
public sealed interface RecordAction {

	/**
	 * Tells all callers that wait on the key that the request is recorded.
	 *
	 * @param key the key
	 */
	record NotifyAccepted(RecordKey key) implements RecordAction {
	}

	/**
	 * Tells the callers that wait on the key that the request was not recorded and will
	 * not run. It is carried out before the key is offered again, since a caller of a
	 * later offer must not be told.
	 *
	 * @param key the key
	 * @param outcome the reason
	 */
	record NotifyNotAccepted(RecordKey key, RequestOutcome.NotRun outcome) implements RecordAction {
	}

	/**
	 * Tells the caller that the key belongs to another request.
	 *
	 * @param key the key
	 */
	record NotifyConflict(RecordKey key) implements RecordAction {
	}

	/**
	 * Tells the caller that the request is larger than a record may be.
	 *
	 * @param key the key
	 * @param maxBytes the largest body
	 */
	record NotifyTooLarge(RecordKey key, int maxBytes) implements RecordAction {
	}

	/**
	 * Queues the request for a free slot; the answer is {@link RequestRecords#dispatch}.
	 *
	 * @param key the key
	 * @param kind the kind, which decides the service
	 */
	record RequestSlot(RecordKey key, KindName kind) implements RecordAction {
	}

	/**
	 * Frees a slot that was given and is not used.
	 *
	 * @param key the key
	 * @param endpoint the endpoint
	 */
	record ReleaseSlot(RecordKey key, EndpointId endpoint) implements RecordAction {
	}

	/**
	 * Sends the request once; the answer is {@link RequestRecords#attemptCompleted}.
	 *
	 * @param key the key
	 * @param kind the kind
	 * @param endpoint the endpoint
	 * @param attempt the correlation id
	 * @param body the body
	 */
	record SendAttempt(RecordKey key, KindName kind, EndpointId endpoint, RequestId attempt,
			byte[] body) implements RecordAction {
	}

	/**
	 * Asks the endpoint about the key; the answer is
	 * {@link RequestRecords#lookUpCompleted}.
	 *
	 * @param key the key
	 * @param endpoint the endpoint
	 * @param attempt the attempt that is asked about
	 */
	record LookUp(RecordKey key, EndpointId endpoint, RequestId attempt) implements RecordAction {
	}

	/**
	 * Seals the attempt at the endpoint; the answer is {@link RequestRecords#sealed}.
	 *
	 * @param key the key
	 * @param endpoint the endpoint
	 * @param attempt the attempt to refuse from now on
	 */
	record Seal(RecordKey key, EndpointId endpoint, RequestId attempt) implements RecordAction {
	}

	/**
	 * Shows the outcome to all callers that wait on the key and to the operator.
	 *
	 * @param key the key
	 * @param outcome the outcome
	 */
	record PublishOutcome(RecordKey key, RequestOutcome outcome) implements RecordAction {
	}

	/**
	 * The snapshot or an entry cannot be read; the shard takes no requests.
	 *
	 * @param reason what was found
	 */
	record RecoveryFailed(String reason) implements RecordAction {
	}

}
