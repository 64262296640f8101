package io.lentilstream.entry.calls;

import java.util.Optional;

import io.lentilstream.model.IdempotencyKey;
import io.lentilstream.model.KindName;
import io.lentilstream.model.TeamId;

/**
 * A call that only the owner of a shard can handle.
 *
 * @param operation the operation
 * @param team the team
 * @param kind the kind of a deferrable request; empty for jobs
 * @param key the idempotency key of the request, or the key of the job
 * @param body the body of the request or the job as JSON
 */
public record OwnerCall(Operation operation, TeamId team, Optional<KindName> kind, IdempotencyKey key, byte[] body) {

	/**
	 * The operation of a call.
	 */
	public enum Operation {

		/** Records a deferrable request. */
		OFFER("POST"),

		/** Returns the outcome of a deferrable request. */
		COLLECT("GET"),

		/** Submits a job. */
		SUBMIT_JOB("POST"),

		/** Returns the state of a job. */
		SHOW_JOB("GET"),

		/** Cancels a job. */
		CANCEL_JOB("DELETE");

		private final String method;

		Operation(String method) {
			this.method = method;
		}

		/**
		 * Returns the HTTP method of the call.
		 * @return the method
		 */
		public String method() {
			return this.method;
		}

		/**
		 * Returns whether the call is about a job.
		 * @return {@code false} for deferrable requests
		 */
		public boolean isJob() {
			return this != OFFER && this != COLLECT;
		}

	}

}
