package io.lentilstream.benchmarks.slopes;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.Arrays;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Reads the processor time of threads and the used heap.
 */
final class CostMeter {

	private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

	// One collection may leave objects that were only reachable through references
	// cleared by it.
	private static final int COLLECTIONS = 3;

	private CostMeter() {
	}

	/**
	 * Returns the processor time that a run takes on this thread.
	 * @param run what is measured
	 * @return nanoseconds
	 */
	static long cpuNanos(Runnable run) {
		long start = THREADS.getCurrentThreadCpuTime();
		run.run();
		return THREADS.getCurrentThreadCpuTime() - start;
	}

	/**
	 * Returns the median processor time of several runs after one that is not counted.
	 * @param rounds the number of counted runs
	 * @param round one run; returns nanoseconds
	 * @return nanoseconds
	 */
	static double median(int rounds, Supplier<Double> round) {
		round.get();
		double[] values = new double[rounds];
		for (int i = 0; i < rounds; i++) {
			values[i] = round.get();
		}
		Arrays.sort(values);
		return values[rounds / 2];
	}

	/**
	 * Returns the processor time of the live threads that are not in a set.
	 * @param excluded the ids of threads that are not counted
	 * @return nanoseconds
	 */
	static long cpuNanosOfOthers(Set<Long> excluded) {
		long sum = 0;
		for (long id : THREADS.getAllThreadIds()) {
			if (!excluded.contains(id)) {
				sum += Math.max(0, THREADS.getThreadCpuTime(id));
			}
		}
		return sum;
	}

	static long[] threadIds() {
		return THREADS.getAllThreadIds();
	}

	/**
	 * Returns the heap that an object keeps in use.
	 * @param create creates the object
	 * @return bytes
	 */
	static long retainedBytes(Supplier<?> create) {
		long before = usedHeap();
		Object held = create.get();
		long after = usedHeap();
		if (held == null) {
			throw new IllegalStateException("nothing was created");
		}
		return after - before;
	}

	private static long usedHeap() {
		for (int i = 0; i < COLLECTIONS; i++) {
			System.gc();
		}
		return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
	}

}
