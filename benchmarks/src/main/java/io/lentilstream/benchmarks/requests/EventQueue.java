package io.lentilstream.benchmarks.requests;

import java.util.PriorityQueue;

/**
 * Runs events in the order of their virtual instant; events of the same instant run in
 * the order in which they were added.
 */
final class EventQueue {

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private long sequence;

	private long now;

	long now() {
		return this.now;
	}

	void at(long nanos, Runnable task) {
		this.events.add(new Event(Math.max(nanos, this.now), this.sequence++, task));
	}

	void runUntil(long endNanos) {
		while (!this.events.isEmpty() && this.events.peek().nanos <= endNanos) {
			Event event = this.events.poll();
			this.now = event.nanos;
			event.task.run();
		}
	}

	private record Event(long nanos, long sequence, Runnable task) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			int order = Long.compare(this.nanos, other.nanos);
			return (order != 0) ? order : Long.compare(this.sequence, other.sequence);
		}

	}

}
