package io.lentilstream.jobs.sharing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * An order of waiting tasks in which the queue that uses the least processor time comes
 * next, so that each queue gets an equal share and uses what others leave. Within a
 * queue, tasks of started jobs come first, and late jobs get a small share until no other
 * task waits. Load pattern: a caller that sends a multiple of its usual load, and bursts
 * of wide jobs of which many would be half done at the same time.
 */
public final class SharedOrder {

	/** Late jobs may use one part in so many of the processor time of their queue. */
	private static final int LATE_PARTS = 8;

	private SharedOrder() {
	}

	/**
	 * Orders waiting tasks of the same priority.
	 * @param <T> the type of the tasks
	 * @param candidates the tasks in the order in which they are due
	 * @param use what the runs of each queue use
	 * @return the tasks in the order in which they should start
	 */
	public static <T> List<T> order(List<ShareCandidate<T>> candidates, Map<String, ShareUse> use) {
		Map<String, QueueOrder<T>> queues = new LinkedHashMap<>();
		for (ShareCandidate<T> candidate : candidates) {
			queues
				.computeIfAbsent(candidate.queue(), (queue) -> new QueueOrder<>(use.getOrDefault(queue, ShareUse.NONE)))
				.add(candidate);
		}
		List<T> ordered = new ArrayList<>(candidates.size());
		PriorityQueue<QueueOrder<T>> byUse = new PriorityQueue<>(Comparator.comparingLong(QueueOrder::milliCores));
		byUse.addAll(queues.values());
		while (!byUse.isEmpty()) {
			QueueOrder<T> next = byUse.poll();
			ordered.add(next.poll());
			if (!next.isEmpty()) {
				byUse.add(next);
			}
		}
		return ordered;
	}

	/**
	 * The order within a queue.
	 */
	private static final class QueueOrder<T> {

		private final PriorityQueue<ShareCandidate<T>> late = new PriorityQueue<>(
				Comparator.comparingLong(ShareCandidate::waitingSince));

		private final Deque<ShareCandidate<T>> started = new ArrayDeque<>();

		private final Deque<ShareCandidate<T>> others = new ArrayDeque<>();

		private ShareUse use;

		QueueOrder(ShareUse use) {
			this.use = use;
		}

		long milliCores() {
			return this.use.milliCores();
		}

		void add(ShareCandidate<T> candidate) {
			if (candidate.late()) {
				this.late.add(candidate);
			}
			else if (candidate.jobStarted()) {
				this.started.add(candidate);
			}
			else {
				this.others.add(candidate);
			}
		}

		boolean isEmpty() {
			return this.late.isEmpty() && this.started.isEmpty() && this.others.isEmpty();
		}

		T poll() {
			ShareCandidate<T> next = next();
			this.use = this.use.plus(Math.max(1, next.milliCores()), next.late());
			return next.task();
		}

		private ShareCandidate<T> next() {
			boolean lateTurn = this.use.lateMilliCores() * LATE_PARTS <= this.use.milliCores();
			if (!this.late.isEmpty() && (lateTurn || this.started.isEmpty() && this.others.isEmpty())) {
				return this.late.poll();
			}
			return this.started.isEmpty() ? this.others.poll() : this.started.poll();
		}

	}

}
