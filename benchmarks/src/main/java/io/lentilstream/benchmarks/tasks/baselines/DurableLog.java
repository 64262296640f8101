package io.lentilstream.benchmarks.tasks.baselines;

import java.util.List;

/**
 * Makes log entries durable in the order of the calls.
 */
@FunctionalInterface
interface DurableLog {

	/**
	 * Appends entries.
	 * @param entries the entries
	 * @param durable called when they are durable
	 */
	void append(List<byte[]> entries, Runnable durable);

	/**
	 * Returns a log that commits in groups.
	 * @param events the events
	 * @param intervalMillis the commit interval; 0 commits at once
	 * @return the log
	 */
	static DurableLog inGroups(EventQueue events, long intervalMillis) {
		if (intervalMillis == 0) {
			return (entries, durable) -> durable.run();
		}
		return (entries, durable) -> events.after(intervalMillis - events.millis() % intervalMillis, durable);
	}

}
