package io.lentilstream.benchmarks.requests;

import java.util.Arrays;
import java.util.List;
import java.util.function.Predicate;

/**
 * Collects what became of each request of a run. Latencies count from the intended
 * arrival; a request without an answer in time counts with the time until its deadline.
 */
final class Results {

	private final List<Job> jobs;

	private final long[] latency;

	private final long[] wait;

	private final boolean[] answered;

	private int overLimit;

	private int finalActions;

	private int secondFinalActions;

	Results(List<Job> jobs) {
		this.jobs = jobs;
		this.latency = new long[jobs.size()];
		this.wait = new long[jobs.size()];
		this.answered = new boolean[jobs.size()];
		for (Job job : jobs) {
			this.latency[job.index()] = job.deadlineNanos() - job.arrivalNanos();
			this.wait[job.index()] = this.latency[job.index()];
		}
	}

	void answered(Job job, long startNanos, long nowNanos) {
		if (this.answered[job.index()]) {
			this.secondFinalActions++;
			return;
		}
		this.finalActions++;
		if (nowNanos <= job.deadlineNanos()) {
			this.answered[job.index()] = true;
			this.latency[job.index()] = nowNanos - job.arrivalNanos();
			this.wait[job.index()] = startNanos - job.arrivalNanos();
		}
	}

	void notAnswered() {
		this.finalActions++;
	}

	void runningAt(int running) {
		if (running > Topology.SLOTS) {
			this.overLimit++;
		}
	}

	int overLimit() {
		return this.overLimit;
	}

	int finalActions() {
		return this.finalActions;
	}

	int secondFinalActions() {
		return this.secondFinalActions;
	}

	double latencyMillis(double quantile, Predicate<Job> filter) {
		return quantile(this.latency, quantile, filter);
	}

	double waitMillis(double quantile, Predicate<Job> filter) {
		return quantile(this.wait, quantile, filter);
	}

	double answeredShare(Predicate<Job> filter) {
		return (double) answeredCount(filter) / Math.max(1, this.jobs.stream().filter(filter).count());
	}

	double shareWithin(long nanos, Predicate<Job> filter) {
		long within = this.jobs.stream()
			.filter(filter)
			.filter((job) -> this.answered[job.index()] && this.latency[job.index()] <= nanos)
			.count();
		return (double) within / Math.max(1, this.jobs.stream().filter(filter).count());
	}

	long answeredCount(Predicate<Job> filter) {
		return this.jobs.stream().filter(filter).filter((job) -> this.answered[job.index()]).count();
	}

	/**
	 * Sums the answered work.
	 * @param filter the requests to count
	 * @param fromNanos the start of the period in which answers count
	 * @param toNanos the end of the period
	 * @return slot seconds
	 */
	double workSeconds(Predicate<Job> filter, long fromNanos, long toNanos) {
		double sum = 0;
		for (Job job : this.jobs) {
			long end = job.arrivalNanos() + this.latency[job.index()];
			if (this.answered[job.index()] && end >= fromNanos && end < toNanos && filter.test(job)) {
				sum += job.serviceNanos() / Workload.SECOND;
			}
		}
		return sum;
	}

	private double quantile(long[] values, double quantile, Predicate<Job> filter) {
		long[] sorted = this.jobs.stream().filter(filter).mapToLong((job) -> values[job.index()]).sorted().toArray();
		if (sorted.length == 0) {
			return 0;
		}
		int index = (int) Math.ceil(quantile * sorted.length) - 1;
		return Arrays.stream(sorted, Math.max(0, index), Math.max(0, index) + 1).sum() / 1e6;
	}

}
