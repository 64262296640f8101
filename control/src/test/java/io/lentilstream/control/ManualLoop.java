package io.lentilstream.control;

import java.util.PriorityQueue;

/**
 * Is an event loop in virtual time.
 */
public final class ManualLoop implements EventLoop {

	private final PriorityQueue<Due> due = new PriorityQueue<>();

	private long now = 10_000;

	private long sequence;

	@Override
	public long now() {
		return this.now;
	}

	@Override
	public long timeOfDay() {
		return 1_700_000_000_000L + this.now;
	}

	@Override
	public Runnable after(long millis, Runnable task) {
		Due entry = new Due(this.now + millis, this.sequence++, task);
		this.due.add(entry);
		return () -> this.due.remove(entry);
	}

	/**
	 * Lets time pass.
	 * @param millis milliseconds
	 */
	public void runFor(long millis) {
		long end = this.now + millis;
		while (!this.due.isEmpty() && this.due.peek().at() <= end) {
			Due next = this.due.poll();
			this.now = Math.max(this.now, next.at());
			next.task().run();
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
