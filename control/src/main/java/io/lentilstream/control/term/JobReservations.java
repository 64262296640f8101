package io.lentilstream.control.term;

import java.util.LinkedHashMap;
import java.util.Map;

import io.lentilstream.model.JobId;

/**
 * The room that is reserved for jobs that other processes are about to store.
 */
final class JobReservations {

	/** How long a job has time to arrive, in milliseconds. */
	private static final long VALID_MILLIS = 5000;

	private final Map<JobId, Reservation> reservations = new LinkedHashMap<>();

	void add(JobId job, long bytes, long now) {
		this.reservations.put(job, new Reservation(bytes, now + VALID_MILLIS));
	}

	boolean contains(JobId job) {
		return this.reservations.containsKey(job);
	}

	void remove(JobId job) {
		this.reservations.remove(job);
	}

	long bytes(long now) {
		this.reservations.values().removeIf((reservation) -> now >= reservation.expiresAt);
		return this.reservations.values().stream().mapToLong(Reservation::bytes).sum();
	}

	/**
	 * A reservation.
	 *
	 * @param bytes the cost of the job
	 * @param expiresAt when it is void, on the steady clock in milliseconds
	 */
	private record Reservation(long bytes, long expiresAt) {
	}

}
