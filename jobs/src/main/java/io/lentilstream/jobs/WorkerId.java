package io.lentilstream.jobs;

/**
 * Identifies a VM that runs tasks. The same id may return for a new incarnation.
 *
 * @param value the text of the id
 */
public record WorkerId(String value) implements Comparable<WorkerId> {

	@Override
	public int compareTo(WorkerId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
