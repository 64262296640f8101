package io.lentilstream.membership;

import java.util.Optional;

import io.lentilstream.clients.StoreKey;

/**
 * Parser of settings documents that come from the store or from a peer.
 */
@FunctionalInterface
public interface DocumentParser {

	/**
	 * Parses a document.
	 * @param key the key of the document
	 * @param value the bytes
	 * @return the document, or empty if its format is unknown or it is corrupted
	 */
	Optional<SettingsDocument> parse(StoreKey key, byte[] value);

}
