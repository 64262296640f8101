package io.lentilstream.model;

/**
 * The id of a batch job within its team.
 *
 * @param value the text of the id; one to {@value Identifiers#MAX_LENGTH} characters of
 * letters, digits, dot, underscore, colon and hyphen
 */
public record JobId(String value) implements Comparable<JobId> {

	public JobId {
		Identifiers.requireValid(value);
	}

	@Override
	public int compareTo(JobId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
