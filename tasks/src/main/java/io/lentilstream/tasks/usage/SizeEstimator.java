package io.lentilstream.tasks.usage;

import io.lentilstream.tasks.log.SizeFactor;

/**
 * An estimator of the share of the declared size that the tasks of one class use. It
 * keeps histograms of the reported ratios with buckets of a quarter of a power of two, in
 * which the weight of old reports decays.
 */
public final class SizeEstimator {

	private static final int BUCKETS_PER_OCTAVE = 4;

	private static final int BUCKETS = 6 * BUCKETS_PER_OCTAVE + 1;

	private static final double MIN_RATIO = 1.0 / 8;

	// Fewer reports than this describe single tasks rather than their class.
	private static final int MIN_REPORTS = 4;

	// Halving the weights at this total shows a change of usage after about 200 reports.
	private static final float MAX_TOTAL_WEIGHT = 200;

	private static final double CORE_QUANTILE = 0.7;

	// Memory cannot be throttled, so its usage may exceed the committed size less often.
	private static final double MEMORY_QUANTILE = 0.95;

	private static final int MIN_SIXTEENTHS = SizeFactor.ONE / 4;

	private static final int MAX_SIXTEENTHS = SizeFactor.ONE * 4;

	private final float[] coreWeights = new float[BUCKETS];

	private final float[] memoryWeights = new float[BUCKETS];

	private float totalWeight;

	private SizeFactor current = SizeFactor.DECLARED;

	/**
	 * Records the ratios of one report.
	 * @param cores used cores relative to the declared ones
	 * @param memory used memory relative to the declared one
	 */
	public void observe(double cores, double memory) {
		this.coreWeights[bucket(cores)]++;
		this.memoryWeights[bucket(memory)]++;
		this.totalWeight++;
		if (this.totalWeight >= MAX_TOTAL_WEIGHT) {
			halveWeights();
		}
		if (this.totalWeight >= MIN_REPORTS) {
			SizeFactor next = new SizeFactor(sixteenths(this.coreWeights, CORE_QUANTILE),
					sixteenths(this.memoryWeights, MEMORY_QUANTILE));
			this.current = next.equals(this.current) ? this.current : next;
		}
	}

	/**
	 * Returns the factor for the size to commit for the next task.
	 * @return the committed size relative to the declared size
	 */
	public SizeFactor current() {
		return this.current;
	}

	private void halveWeights() {
		this.totalWeight /= 2;
		for (int i = 0; i < BUCKETS; i++) {
			this.coreWeights[i] /= 2;
			this.memoryWeights[i] /= 2;
		}
	}

	private int sixteenths(float[] weights, double quantile) {
		float cumulative = 0;
		int bucket = 0;
		while (bucket < BUCKETS - 1 && cumulative + weights[bucket] < quantile * this.totalWeight) {
			cumulative += weights[bucket];
			bucket++;
		}
		double upperEdge = MIN_RATIO * Math.pow(2, (bucket + 0.5) / BUCKETS_PER_OCTAVE);
		int sixteenths = (int) Math.ceil(upperEdge * SizeFactor.ONE);
		return Math.max(MIN_SIXTEENTHS, Math.min(MAX_SIXTEENTHS, sixteenths));
	}

	private static int bucket(double ratio) {
		if (!(ratio > MIN_RATIO)) {
			return 0;
		}
		double octaves = Math.log(ratio / MIN_RATIO) / Math.log(2);
		return (int) Math.min(BUCKETS - 1, Math.round(octaves * BUCKETS_PER_OCTAVE));
	}

}
