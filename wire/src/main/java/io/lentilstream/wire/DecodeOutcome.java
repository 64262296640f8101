package io.lentilstream.wire;

/**
 * Is the outcome of decoding the content of one frame.
 */
public sealed interface DecodeOutcome {

	/**
	 * The frame was decoded.
	 *
	 * @param frame the frame
	 */
	record Decoded(PeerFrame frame) implements DecodeOutcome {
	}

	/**
	 * The sender speaks another version of the protocol.
	 *
	 * @param found the version in the frame
	 */
	record WrongVersion(int found) implements DecodeOutcome {
	}

	/**
	 * The type is not known; a newer sender may use types that this version lacks.
	 *
	 * @param found the number of the type
	 */
	record UnknownType(int found) implements DecodeOutcome {
	}

	/**
	 * The content is no frame; the link must be closed.
	 *
	 * @param reason a short reason for logs, without content of the frame
	 */
	record Malformed(String reason) implements DecodeOutcome {
	}

}
