package io.lentilstream.model;

/**
 * The name of a kind of deferrable or batch work within its team.
 *
 * @param value the text of the name; one to {@value Identifiers#MAX_LENGTH} characters of
 * letters, digits, dot, underscore, colon and hyphen
 */
public record KindName(String value) implements Comparable<KindName> {

	public KindName {
		Identifiers.requireValid(value);
	}

	@Override
	public int compareTo(KindName other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
