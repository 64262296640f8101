package io.lentilstream.model;

/**
 * The name of a service within its team.
 *
 * @param value the text of the name; one to {@value Identifiers#MAX_LENGTH} characters of
 * letters, digits, dot, underscore, colon and hyphen
 */
public record ServiceName(String value) implements Comparable<ServiceName> {

	public ServiceName {
		Identifiers.requireValid(value);
	}

	@Override
	public int compareTo(ServiceName other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
