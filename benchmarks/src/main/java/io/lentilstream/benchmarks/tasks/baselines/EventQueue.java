package io.lentilstream.benchmarks.tasks.baselines;

import java.util.PriorityQueue;

import io.lentilstream.model.MonotonicTime;

/**
 * Runs events in the order of their virtual time in milliseconds; events of the same time
 * run in the order in which they were added.
 */
final class EventQueue {

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private long sequence;

	private long now;

	long millis() {
		return this.now;
	}

	MonotonicTime now() {
		return MonotonicTime.ofMillis(this.now);
	}

	void after(long millis, Runnable action) {
		this.events.add(new Event(this.now + Math.max(0, millis), this.sequence++, action));
	}

	void every(long first, long interval, Runnable action) {
		after(first, () -> {
			action.run();
			every(interval, interval, action);
		});
	}

	void runUntil(long end) {
		while (!this.events.isEmpty() && this.events.peek().time <= end) {
			Event event = this.events.poll();
			this.now = event.time;
			event.action.run();
		}
		this.now = end;
	}

	private record Event(long time, long sequence, Runnable action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			int order = Long.compare(this.time, other.time);
			return (order != 0) ? order : Long.compare(this.sequence, other.sequence);
		}

	}

}
