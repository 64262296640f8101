package io.lentilstream.model;

/**
 * The key under which a request that must not be repeated runs at most once.
 *
 * @param value the text of the key; one to {@value Identifiers#MAX_LENGTH} characters of
 * letters, digits, dot, underscore, colon and hyphen
 */
public record IdempotencyKey(String value) implements Comparable<IdempotencyKey> {

	public IdempotencyKey {
		Identifiers.requireValid(value);
	}

	@Override
	public int compareTo(IdempotencyKey other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
