package io.lentilstream.model;

/**
 * The id of an availability zone.
 *
 * @param value the text of the id; one to {@value Identifiers#MAX_LENGTH} characters of
 * letters, digits, dot, underscore, colon and hyphen
 */
public record AvailabilityZoneId(String value) implements Comparable<AvailabilityZoneId> {

	public AvailabilityZoneId {
		Identifiers.requireValid(value);
	}

	@Override
	public int compareTo(AvailabilityZoneId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
