package io.lentilstream.tasks.log;

import io.lentilstream.model.Resources;

/**
 * Scales a declared size to the size that is committed. It is part of a placement, so
 * that a new owner commits for a task on an unresponsive worker what the earlier owner
 * committed.
 *
 * @param coreSixteenths committed cores in sixteenths of the declared cores
 * @param memorySixteenths committed memory in sixteenths of the declared memory
 */
public record SizeFactor(int coreSixteenths, int memorySixteenths) {

	/** One in sixteenths. */
	public static final int ONE = 16;

	/** The committed size is the declared size. */
	public static final SizeFactor DECLARED = new SizeFactor(ONE, ONE);

	/**
	 * Returns the committed size. Accelerators are whole and never scaled.
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
