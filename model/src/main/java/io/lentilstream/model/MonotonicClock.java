package io.lentilstream.model;

/**
 * A monotonic clock. Only daemons and their timers read a clock; decision logic gets the
 * time as an argument.
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
