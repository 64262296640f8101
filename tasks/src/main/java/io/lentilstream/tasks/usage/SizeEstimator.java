package io.lentilstream.tasks.usage;

import io.lentilstream.tasks.log.SizeFactor;

/**
 * Learns which part of the declared size the tasks of one class really use. The ratios of
 * late reports go into a histogram with steps of a quarter of a power of two; old reports
 * lose weight.
 */
public final class SizeEstimator {

	private static final int STEPS_PER_OCTAVE = 4;

	private static final int BUCKETS = 6 * STEPS_PER_OCTAVE + 1;

	private static final double SMALLEST_RATIO = 1.0 / 8;

	// Fewer reports than this say more about one task than about its class.
	private static final int MIN_REPORTS = 4;

	// Halving at this weight lets a change of use show after about 200 reports.
	private static final float MAX_WEIGHT = 200;

	private static final double CORE_QUANTILE = 0.7;

	// Memory cannot be throttled, so less of its use may lie above the committed size.
	private static final double MEMORY_QUANTILE = 0.95;

	private static final int SMALLEST_SIXTEENTHS = SizeFactor.ONE / 4;

	private static final int LARGEST_SIXTEENTHS = SizeFactor.ONE * 4;

	private final float[] coreWeights = new float[BUCKETS];

	private final float[] memoryWeights = new float[BUCKETS];

	private float weight;

	private SizeFactor current = SizeFactor.DECLARED;

	/**
	 * Takes the ratio of one report.
	 * @param cores used cores relative to the declared ones
	 * @param memory used memory relative to the declared one
	 */
	public void observe(double cores, double memory) {
		this.coreWeights[bucket(cores)]++;
		this.memoryWeights[bucket(memory)]++;
		this.weight++;
		if (this.weight >= MAX_WEIGHT) {
			halve();
		}
		if (this.weight >= MIN_REPORTS) {
			SizeFactor next = new SizeFactor(sixteenths(this.coreWeights, CORE_QUANTILE),
					sixteenths(this.memoryWeights, MEMORY_QUANTILE));
			this.current = next.equals(this.current) ? this.current : next;
		}
	}

	/**
	 * Returns the size to commit for the next task.
	 * @return the size relative to the declared one
	 */
	public SizeFactor current() {
		return this.current;
	}

	private void halve() {
		this.weight /= 2;
		for (int i = 0; i < BUCKETS; i++) {
			this.coreWeights[i] /= 2;
			this.memoryWeights[i] /= 2;
		}
	}

	private int sixteenths(float[] weights, double quantile) {
		float below = 0;
		int bucket = 0;
		while (bucket < BUCKETS - 1 && below + weights[bucket] < quantile * this.weight) {
			below += weights[bucket];
			bucket++;
		}
		double upperEdge = SMALLEST_RATIO * Math.pow(2, (bucket + 0.5) / STEPS_PER_OCTAVE);
		int sixteenths = (int) Math.ceil(upperEdge * SizeFactor.ONE);
		return Math.max(SMALLEST_SIXTEENTHS, Math.min(LARGEST_SIXTEENTHS, sixteenths));
	}

	private static int bucket(double ratio) {
		if (!(ratio > SMALLEST_RATIO)) {
			return 0;
		}
		double octaves = Math.log(ratio / SMALLEST_RATIO) / Math.log(2);
		return (int) Math.min(BUCKETS - 1, Math.round(octaves * STEPS_PER_OCTAVE));
	}

}
