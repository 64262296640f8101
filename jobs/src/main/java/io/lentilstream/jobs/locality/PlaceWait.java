package io.lentilstream.jobs.locality;

/**
 * A wait for a place.
 *
 * @param beganAt when it began, in milliseconds
 * @param expectedAt when room was first expected, in milliseconds
 * @param until when it ends without room, in milliseconds
 * @param abandoned whether it has ended, so that the task does not wait again
 */
public record PlaceWait(long beganAt, long expectedAt, long until, boolean abandoned) {

	/**
	 * Returns the wait after it was abandoned.
	 * @return the abandoned wait
	 */
	public PlaceWait abandon() {
		return new PlaceWait(this.beganAt, this.expectedAt, this.until, true);
	}

}
