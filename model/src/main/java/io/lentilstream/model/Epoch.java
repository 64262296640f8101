package io.lentilstream.model;

/**
 * The fencing token of the ownership of a shard. Each takeover increments it.
 *
 * @param value the number of the epoch; 0 before the first owner
 */
public record Epoch(long value) implements Comparable<Epoch> {

	/**
	 * The epoch of a shard that never had an owner.
	 */
	public static final Epoch NONE = new Epoch(0);

	public Epoch {
		if (value < 0) {
			throw new IllegalArgumentException("negative epoch");
		}
	}

	/**
	 * Returns the epoch of the next owner.
	 * @return the next epoch
	 */
	public Epoch next() {
		return new Epoch(this.value + 1);
	}

	@Override
	public int compareTo(Epoch other) {
		return Long.compare(this.value, other.value);
	}

	@Override
	public String toString() {
		return Long.toString(this.value);
	}

}
