package io.lentilstream.settings.process;

/**
 * Is the layout of log lines.
 */
public enum LogFormat {

	/** One line of text per event. */
	TEXT,

	/** One JSON object per event. */
	JSON

}
