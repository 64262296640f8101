package io.lentilstream.jobs.scheduling;

import java.util.PriorityQueue;

/**
 * Runs tasks in virtual time.
 */
final class VirtualClock {

	private final PriorityQueue<Due> due = new PriorityQueue<>();

	private long now = 1_000_000;

	private long sequence;

	long now() {
		return this.now;
	}

	void after(long millis, Runnable task) {
		this.due.add(new Due(this.now + millis, this.sequence++, task));
	}

	void runFor(long millis) {
		long end = this.now + millis;
		while (!this.due.isEmpty() && this.due.peek().at <= end) {
			Due next = this.due.poll();
			this.now = Math.max(this.now, next.at);
			next.task.run();
		}
		this.now = end;
	}

	private record Due(long at, long sequence, Runnable task) implements Comparable<Due> {

		@Override
		public int compareTo(Due other) {
			int order = Long.compare(this.at, other.at);
			return (order != 0) ? order : Long.compare(this.sequence, other.sequence);
		}

	}

}
