package io.lentilstream.model;

/**
 * An amount of the resources of a VM.
 *
 * @param milliCores processor time in thousandths of a core
 * @param memoryMegabytes memory in megabytes (2^20 bytes)
 * @param accelerators whole accelerators
 */
public record Resources(long milliCores, long memoryMegabytes, long accelerators) {

	/**
	 * No resources.
	 */
	public static final Resources NONE = new Resources(0, 0, 0);

	/**
	 * Returns the sum of two amounts.
	 * @param other the amount to add
	 * @return the sum
	 */
	public Resources plus(Resources other) {
		return new Resources(this.milliCores + other.milliCores, this.memoryMegabytes + other.memoryMegabytes,
				this.accelerators + other.accelerators);
	}

	/**
	 * Returns the difference of two amounts, which may have negative components.
	 * @param other the amount to subtract
	 * @return the difference
	 */
	public Resources minus(Resources other) {
		return new Resources(this.milliCores - other.milliCores, this.memoryMegabytes - other.memoryMegabytes,
				this.accelerators - other.accelerators);
	}

	/**
	 * Returns whether no component of this amount exceeds that of another one.
	 * @param available the amount that is available
	 * @return {@code true} if every component fits
	 */
	public boolean fitsWithin(Resources available) {
		return this.milliCores <= available.milliCores && this.memoryMegabytes <= available.memoryMegabytes
				&& this.accelerators <= available.accelerators;
	}

	/**
	 * Returns the dominant share, the largest share of a total that any component takes.
	 * @param total the total; components with a total of 0 are ignored
	 * @return the dominant share; at least 0
	 */
	public double dominantShareOf(Resources total) {
		double share = share(this.milliCores, total.milliCores);
		share = Math.max(share, share(this.memoryMegabytes, total.memoryMegabytes));
		return Math.max(share, share(this.accelerators, total.accelerators));
	}

	private static double share(long part, long total) {
		return (total > 0) ? (double) part / total : 0;
	}

}
