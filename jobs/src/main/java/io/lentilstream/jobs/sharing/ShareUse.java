package io.lentilstream.jobs.sharing;

/**
 * The processor time in use by a queue, recomputed from its runs for each decision.
 *
 * @param milliCores the processor time that running tasks request, in thousandths of a
 * core
 * @param lateMilliCores the part of it that late jobs request, in thousandths of a core
 */
public record ShareUse(long milliCores, long lateMilliCores) {

	/** No use. */
	public static final ShareUse NONE = new ShareUse(0, 0);

	/**
	 * Adds a task.
	 * @param taskMilliCores the processor time that it requests, in thousandths of a core
	 * @param late whether its job is late
	 * @return the sum
	 */
	public ShareUse plus(long taskMilliCores, boolean late) {
		return new ShareUse(this.milliCores + taskMilliCores, this.lateMilliCores + (late ? taskMilliCores : 0));
	}

}
