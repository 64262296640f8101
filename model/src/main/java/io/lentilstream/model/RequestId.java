package io.lentilstream.model;

/**
 * The id of a request on every hop, and the correlation id of its answer.
 *
 * @param value the text of the id; one to {@value Identifiers#MAX_LENGTH} characters of
 * letters, digits, dot, underscore, colon and hyphen
 */
public record RequestId(String value) implements Comparable<RequestId> {

	public RequestId {
		Identifiers.requireValid(value);
	}

	@Override
	public int compareTo(RequestId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
