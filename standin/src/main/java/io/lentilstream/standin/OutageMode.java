package io.lentilstream.standin;

/**
 * How a store that cannot be used answers. In every mode, nothing is applied.
 */
public enum OutageMode {

	/** It answers that it is not available and applied nothing. */
	REFUSES,

	/** It closes the connection without an answer. */
	CLOSES,

	/** It does not answer. */
	HANGS

}
