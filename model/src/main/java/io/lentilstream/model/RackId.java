package io.lentilstream.model;

/**
 * The id of a rack within an availability zone.
 *
 * @param value the text of the id; one to {@value Identifiers#MAX_LENGTH} characters of
 * letters, digits, dot, underscore, colon and hyphen
 */
public record RackId(String value) implements Comparable<RackId> {

	public RackId {
		Identifiers.requireValid(value);
	}

	@Override
	public int compareTo(RackId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
