package io.lentilstream.control.http;

/**
 * Decides until when a call whose timeout has passed waits for the rest of a response
 * that has begun. Load pattern: large responses of the store on the slow link of a small
 * machine, which a fixed timeout would abandon and request again without end.
 */
final class ResponseTimeoutRule {

	/** The longest pause within a response, in milliseconds. */
	static final long MAX_PAUSE_MILLIS = 700;

	/**
	 * The longest time from a request to the end of its response, in milliseconds. Covers
	 * the largest response on a link of 4 Mbit/s.
	 */
	static final long MAX_RESPONSE_MILLIS = 10_000;

	/**
	 * Returns when a call is abandoned unless more of its response arrives before.
	 * @param sentAt when the request was sent, on the steady clock in milliseconds
	 * @param progress the progress of its response
	 * @return the deadline on the steady clock, in milliseconds; in the past if the
	 * response has not begun
	 */
	long deadline(long sentAt, ResponseProgress progress) {
		if (progress.receivedBytes() == 0) {
			return sentAt;
		}
		return Math.min(progress.lastReceivedAt() + MAX_PAUSE_MILLIS, sentAt + MAX_RESPONSE_MILLIS);
	}

}
