package io.lentilstream.settings.process;

/**
 * The format of log lines.
 */
public enum LogFormat {

	/** One line of text per event. */
	TEXT,

	/** One JSON object per event. */
	JSON

}
