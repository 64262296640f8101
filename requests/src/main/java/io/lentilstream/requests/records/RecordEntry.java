package io.lentilstream.requests.records;

import io.lentilstream.model.EndpointId;
import io.lentilstream.model.KindName;
import io.lentilstream.model.NotRunReason;
import io.lentilstream.model.RequestId;

/**
 * A durable change of a record, as written to the shard log. Retention times are the
 * milliseconds remaining when the entry was written, because the clocks of two owners
 * cannot be compared. A new owner counts them from its takeover, so a record is never
 * removed too early.
 */
sealed interface RecordEntry {

	/**
	 * Returns the key of the record.
	 * @return the key
	 */
	RecordKey key();

	record Accepted(RecordKey key, KindName kind, byte[] digest, byte[] body, long keepMillis) implements RecordEntry {
	}

	record Dispatching(RecordKey key, EndpointId endpoint, RequestId attempt) implements RecordEntry {
	}

	/**
	 * The endpoint has certainly not run the attempt and never will.
	 *
	 * @param key the key
	 */
	record Returned(RecordKey key) implements RecordEntry {
	}

	record CancelRequested(RecordKey key) implements RecordEntry {
	}

	record Answered(RecordKey key, int status, String contentType, byte[] body,
			long keepMillis) implements RecordEntry {
	}

	record NotRun(RecordKey key, NotRunReason reason, long keepMillis) implements RecordEntry {
	}

	record Unknown(RecordKey key, EndpointId endpoint, RequestId attempt, long keepMillis) implements RecordEntry {
	}

	record Removed(RecordKey key) implements RecordEntry {
	}

}
