package io.lentilstream.model;

/**
 * The id of a task of a batch job or of a service.
 *
 * @param value the text of the id; one to {@value Identifiers#MAX_LENGTH} characters of
 * letters, digits, dot, underscore, colon and hyphen
 */
public record TaskId(String value) implements Comparable<TaskId> {

	public TaskId {
		Identifiers.requireValid(value);
	}

	@Override
	public int compareTo(TaskId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
