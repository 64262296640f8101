package io.lentilstream.model;

/**
 * The urgency class of work, most urgent first.
 */
public enum Urgency {

	/**
	 * Latency-critical work whose caller waits for the answer.
	 */
	URGENT,

	/**
	 * Work that may wait, but must be neither lost nor repeated.
	 */
	DEFERRABLE,

	/**
	 * Long-running background work that uses idle capacity and can be evicted.
	 */
	BATCH

}
