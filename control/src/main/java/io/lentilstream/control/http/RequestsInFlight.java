package io.lentilstream.control.http;

/**
 * The requests that a server has read and not answered.
 *
 * @param count the number of requests
 * @param oldestMillis the age of the oldest, in milliseconds; 0 if there is none
 * @param oldest method and path of the oldest; empty if there is none
 */
public record RequestsInFlight(int count, long oldestMillis, String oldest) {

	static final RequestsInFlight NONE = new RequestsInFlight(0, 0, "");

	private static final long NANOS_PER_MILLI = 1_000_000;

	RequestsInFlight with(long ageNanos, String request) {
		long millis = ageNanos / NANOS_PER_MILLI;
		boolean older = this.count == 0 || millis > this.oldestMillis;
		return new RequestsInFlight(this.count + 1, older ? millis : this.oldestMillis, older ? request : this.oldest);
	}

}
