package io.lentilstream.benchmarks.membership;

import java.util.PriorityQueue;

/**
 * Runs events in the order of their virtual times.
 */
final class VirtualTime {

	private final PriorityQueue<Event> queue = new PriorityQueue<>();

	private long nowMicros;

	private long order;

	long nowMicros() {
		return this.nowMicros;
	}

	void after(long micros, Runnable action) {
		this.queue.add(new Event(this.nowMicros + micros, this.order++, action));
	}

	void run(double seconds) {
		long end = this.nowMicros + (long) (seconds * 1e6);
		while (!this.queue.isEmpty() && this.queue.peek().at() <= end) {
			Event event = this.queue.remove();
			this.nowMicros = event.at();
			event.action().run();
		}
		this.nowMicros = end;
	}

	private record Event(long at, long order, Runnable action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			int first = Long.compare(this.at, other.at);
			return (first != 0) ? first : Long.compare(this.order, other.order);
		}

	}

}
