package io.lentilstream.jobs.reliability;

/**
 * The belief that a VM fails or stalls tasks for reasons of its own, whatever its health
 * checks say. It is kept as the natural logarithm of the odds, changes with each ended
 * run, and returns to the prior while there is no evidence. Load pattern: a few VMs among
 * hundreds fail a share of their tasks for some seconds and report to be healthy.
 */
public final class FaultBelief {

	/** The logarithm of the odds without evidence. */
	static final double PRIOR_LOG_ODDS = -3.5;

	/** The bounds of the logarithm, so that new evidence always counts. */
	private static final double MIN_LOG_ODDS = -5;

	private static final double MAX_LOG_ODDS = 4;

	/** The time after which half of the evidence is forgotten, in milliseconds. */
	private static final double HALF_LIFE_MILLIS = 6000;

	/** The share of its tasks that a faulty VM is assumed to fail. */
	private static final double FAULTY_FAILURE_SHARE = 0.6;

	/** The smallest share of failures that is taken as usual. */
	private static final double MIN_USUAL_SHARE = 0.02;

	/** The evidence of a task without progress, as a logarithm of odds. */
	private static final double STALL_EVIDENCE = 3;

	private static final double PRIOR_PROBABILITY = probabilityOf(PRIOR_LOG_ODDS);

	private double logOdds = PRIOR_LOG_ODDS;

	/** When the logarithm was last computed, in milliseconds. */
	private long computedAt;

	/**
	 * Updates the belief with an ended run.
	 * @param failed whether the task failed
	 * @param usualShare the share of such runs that fails on any VM
	 * @param now the current time in milliseconds
	 */
	public void recordEnd(boolean failed, double usualShare, long now) {
		double usual = Math.min(FAULTY_FAILURE_SHARE, Math.max(MIN_USUAL_SHARE, usualShare));
		add(failed ? Math.log(FAULTY_FAILURE_SHARE / usual) : Math.log((1 - FAULTY_FAILURE_SHARE) / (1 - usual)), now);
	}

	/**
	 * Updates the belief with a run that makes no progress.
	 * @param now the current time in milliseconds
	 */
	public void recordStall(long now) {
		add(STALL_EVIDENCE, now);
	}

	private void add(double evidence, long now) {
		double sum = decayed(now) + evidence;
		this.logOdds = Math.min(MAX_LOG_ODDS, Math.max(MIN_LOG_ODDS, sum));
		this.computedAt = now;
	}

	/**
	 * Returns the probability that the VM is faulty.
	 * @param now the current time in milliseconds
	 * @return the probability
	 */
	public double probability(long now) {
		return (this.logOdds == PRIOR_LOG_ODDS) ? PRIOR_PROBABILITY : probabilityOf(decayed(now));
	}

	private double decayed(long now) {
		double retained = Math.pow(0.5, Math.max(0, now - this.computedAt) / HALF_LIFE_MILLIS);
		return PRIOR_LOG_ODDS + retained * (this.logOdds - PRIOR_LOG_ODDS);
	}

	private static double probabilityOf(double logOdds) {
		return 1 / (1 + Math.exp(-logOdds));
	}

}
