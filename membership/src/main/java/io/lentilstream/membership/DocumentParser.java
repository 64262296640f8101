package io.lentilstream.membership;

import java.util.Optional;

import io.lentilstream.clients.StoreKey;

/**
 * Reads the bytes of a settings document, from the store or from a peer.
 */
@FunctionalInterface
public interface DocumentParser {

	/**
	 * Reads a document.
	 * @param key the key of the document
	 * @param value the bytes
	 * @return the document as replicas keep it, or empty if the format is not known or
	 * the bytes are damaged
	 */
	Optional<SettingsDocument> parse(StoreKey key, byte[] value);

}
