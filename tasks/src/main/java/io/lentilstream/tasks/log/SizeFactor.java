package io.lentilstream.tasks.log;

import io.lentilstream.model.Resources;

/**
 * The ratio of the committed size of a task to its declared size. It is logged with each
 * placement, so that a new owner commits the same size as the previous owner for a task
 * on an unresponsive worker.
 *
 * @param coreSixteenths committed cores in sixteenths of the declared cores
 * @param memorySixteenths committed memory in sixteenths of the declared memory
 */
public record SizeFactor(int coreSixteenths, int memorySixteenths) {

	/** The factor 1, in sixteenths. */
	public static final int ONE = 16;

	/** The factor of a task that is committed with its declared size. */
	public static final SizeFactor DECLARED = new SizeFactor(ONE, ONE);

	/**
	 * Returns the committed size for a declared size. Amounts are rounded up;
	 * accelerators are indivisible and not scaled.
	 * @param declared the declared size
	 * @return the committed size
	 */
	public Resources applyTo(Resources declared) {
		if (equals(DECLARED)) {
			return declared;
		}
		return new Resources(scale(declared.milliCores(), this.coreSixteenths),
				scale(declared.memoryMegabytes(), this.memorySixteenths), declared.accelerators());
	}

	private static long scale(long amount, int sixteenths) {
		return (amount * sixteenths + ONE - 1) / ONE;
	}

}
