package io.lentilstream.model;

/**
 * The reason why a request was refused before any endpoint ran it.
 */
public enum NotRunReason {

	/** The estimated waiting time exceeds the time left until the deadline. */
	DEADLINE_TOO_CLOSE,

	/** The deadline passed while the request was queued. */
	DEADLINE_PASSED,

	/** The queue of the team or service is full. */
	QUEUE_FULL,

	/** The team is over its quota. */
	OVER_QUOTA,

	/** No endpoint of the service accepts work. */
	NO_ENDPOINT,

	/** Every endpoint that was tried refused the request before running it. */
	REFUSED_BY_ENDPOINTS,

	/** The store cannot be reached, and the request must be recorded before it runs. */
	STORE_UNAVAILABLE,

	/** The owner of the request's shard cannot be reached, and nothing was sent to it. */
	OWNER_UNAVAILABLE,

	/** This entry VM is shutting down. */
	SHUTTING_DOWN,

	/** The caller or an operator cancelled the request before it ran. */
	CANCELLED

}
