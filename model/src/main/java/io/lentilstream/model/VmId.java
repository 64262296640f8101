package io.lentilstream.model;

/**
 * The id of a VM, whether it runs a worker, an endpoint or an entry daemon.
 *
 * @param value the text of the id; one to {@value Identifiers#MAX_LENGTH} characters of
 * letters, digits, dot, underscore, colon and hyphen
 */
public record VmId(String value) implements Comparable<VmId> {

	public VmId {
		Identifiers.requireValid(value);
	}

	@Override
	public int compareTo(VmId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
