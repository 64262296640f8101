package io.lentilstream.jobs;

/**
 * The id of a VM that runs tasks. Successive incarnations of a VM may use the same id.
 *
 * @param value the id as text
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
