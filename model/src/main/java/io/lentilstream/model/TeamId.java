package io.lentilstream.model;

/**
 * The id of a team.
 *
 * @param value the text of the id; one to {@value Identifiers#MAX_LENGTH} characters of
 * letters, digits, dot, underscore, colon and hyphen
 */
public record TeamId(String value) implements Comparable<TeamId> {

	public TeamId {
		Identifiers.requireValid(value);
	}

	@Override
	public int compareTo(TeamId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
