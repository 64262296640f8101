package io.lentilstream.clients;

/**
 * Is a value read from the store. The caller must not change the bytes.
 *
 * @param key the key of the value
 * @param value the bytes, at most {@value StoreClient#MAX_VALUE_BYTES}
 * @param version the version of the value; grows with each write of the key, also after a
 * deletion
 */
public record StoredValue(StoreKey key, byte[] value, long version) {
}
