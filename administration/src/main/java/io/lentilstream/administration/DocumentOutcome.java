package io.lentilstream.administration;

/**
 * Is the outcome of reading the bytes of a document.
 */
public sealed interface DocumentOutcome {

	/**
	 * The document was read.
	 *
	 * @param document the document
	 */
	record Decoded(StoredDocument document) implements DocumentOutcome {
	}

	/**
	 * Another version of the software wrote the document.
	 *
	 * @param found the version of the format
	 */
	record UnknownFormat(int found) implements DocumentOutcome {
	}

	/**
	 * The bytes are no document.
	 *
	 * @param reason a short reason for logs, without content
	 */
	record Damaged(String reason) implements DocumentOutcome {
	}

}
