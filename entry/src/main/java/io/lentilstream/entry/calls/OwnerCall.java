package io.lentilstream.entry.calls;

import java.util.Optional;

import io.lentilstream.model.IdempotencyKey;
import io.lentilstream.model.KindName;
import io.lentilstream.model.TeamId;

/**
 * Is a call that only the owner of a shard can answer.
 *
 * @param operation what is asked
 * @param team the team
 * @param kind the kind of a deferrable request; empty for jobs
 * @param key the idempotency key of the request, or the key of the job
 * @param body the body of the request or the job as JSON
 */
public record OwnerCall(Operation operation, TeamId team, Optional<KindName> kind, IdempotencyKey key, byte[] body) {

	/**
	 * What a call asks.
	 */
	public enum Operation {

		/** Records a deferrable request. */
		OFFER("POST"),

		/** Shows the state of a deferrable request. */
		COLLECT("GET"),

		/** Submits a job. */
		SUBMIT_JOB("POST"),

		/** Shows a job. */
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
		 * Tells whether the call is about a job.
		 * @return {@code false} for deferrable requests
		 */
		public boolean isJob() {
			return this != OFFER && this != COLLECT;
		}

	}

}
