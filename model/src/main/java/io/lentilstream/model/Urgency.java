package io.lentilstream.model;

/**
 * Orders work by how urgently it is needed, most urgent first.
 */
public enum Urgency {

	/**
	 * Latency-critical: the caller waits for the answer.
	 */
	URGENT,

	/**
	 * May wait, but must neither be lost nor repeated.
	 */
	DEFERRABLE,

	/**
	 * Long and quiet work that fills idle capacity and yields.
	 */
	BATCH

}
