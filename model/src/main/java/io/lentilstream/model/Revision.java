package io.lentilstream.model;

/**
 * The revision of a settings document. Revisions only increase.
 *
 * @param value the number of the revision; 0 for a document that does not exist
 */
public record Revision(long value) implements Comparable<Revision> {

	/**
	 * The revision of a document that does not exist.
	 */
	public static final Revision NONE = new Revision(0);

	public Revision {
		if (value < 0) {
			throw new IllegalArgumentException("negative revision");
		}
	}

	/**
	 * Returns the revision that the next change creates.
	 * @return the next revision
	 */
	public Revision next() {
		return new Revision(this.value + 1);
	}

	@Override
	public int compareTo(Revision other) {
		return Long.compare(this.value, other.value);
	}

	@Override
	public String toString() {
		return Long.toString(this.value);
	}

}
