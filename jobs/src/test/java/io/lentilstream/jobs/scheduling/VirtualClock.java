package io.lentilstream.jobs.scheduling;

import java.util.PriorityQueue;

/**
 * A clock for virtual time that runs scheduled tasks.
 */
final class VirtualClock {

	private final PriorityQueue<ScheduledTask> queue = new PriorityQueue<>();

	private long now = 1_000_000;

	private long sequence;

	long now() {
		return this.now;
	}

	void schedule(long millis, Runnable task) {
		this.queue.add(new ScheduledTask(this.now + millis, this.sequence++, task));
	}

	void runFor(long millis) {
		long end = this.now + millis;
		while (!this.queue.isEmpty() && this.queue.peek().at <= end) {
			ScheduledTask next = this.queue.poll();
			this.now = Math.max(this.now, next.at);
			next.task.run();
		}
		this.now = end;
	}

	private record ScheduledTask(long at, long sequence, Runnable task) implements Comparable<ScheduledTask> {

		@Override
		public int compareTo(ScheduledTask other) {
			int order = Long.compare(this.at, other.at);
			return (order != 0) ? order : Long.compare(this.sequence, other.sequence);
		}

	}

}
