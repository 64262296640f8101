package io.lentilstream.model;

/**
 * Tells the monotonic time. Decisions get the time as an argument; only daemons and their
 * timers read a clock.
 */
@FunctionalInterface
public interface MonotonicClock {

	/**
	 * Returns the current instant.
	 * @return the current instant
	 */
	MonotonicTime now();

	/**
	 * Returns the clock of this process.
	 * @return a clock that reads {@link System#nanoTime()}
	 */
	static MonotonicClock system() {
		return () -> new MonotonicTime(System.nanoTime());
	}

}
