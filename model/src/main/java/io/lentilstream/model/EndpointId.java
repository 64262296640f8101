package io.lentilstream.model;

/**
 * The id of an endpoint instance that answers requests.
 *
 * @param value the text of the id; one to {@value Identifiers#MAX_LENGTH} characters of
 * letters, digits, dot, underscore, colon and hyphen
 */
public record EndpointId(String value) implements Comparable<EndpointId> {

	public EndpointId {
		Identifiers.requireValid(value);
	}

	@Override
	public int compareTo(EndpointId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
