package io.lentilstream.administration;

/**
 * The outcome of decoding a document.
 */
public sealed interface DocumentOutcome {

	/**
	 * The document was decoded.
	 *
	 * @param document the document
	 */
	record Decoded(StoredDocument document) implements DocumentOutcome {
	}

	/**
	 * The document has the format of another version of the software.
	 *
	 * @param found the format version of the document
	 */
	record UnknownFormat(int found) implements DocumentOutcome {
	}

	/**
	 * The bytes are not a valid document.
	 *
	 * @param reason a short reason for logs, without content of the document
	 */
	record Damaged(String reason) implements DocumentOutcome {
	}

}
