package io.lentilstream.control;

import java.util.PriorityQueue;

/**
 * An event loop in virtual time.
 */
public final class ManualEventLoop implements EventLoop {

	private final PriorityQueue<ScheduledTask> due = new PriorityQueue<>();

	private long now = 10_000;

	private long sequence;

	@Override
	public long now() {
		return this.now;
	}

	@Override
	public long wallClockMillis() {
		return 1_700_000_000_000L + this.now;
	}

	@Override
	public Runnable schedule(long millis, Runnable task) {
		ScheduledTask entry = new ScheduledTask(this.now + millis, this.sequence++, task);
		this.due.add(entry);
		return () -> this.due.remove(entry);
	}

	/**
	 * Advances the time and runs the tasks that become due.
	 * @param millis how far to advance, in milliseconds
	 */
	public void runFor(long millis) {
		long end = this.now + millis;
		while (!this.due.isEmpty() && this.due.peek().at() <= end) {
			ScheduledTask next = this.due.poll();
			this.now = Math.max(this.now, next.at());
			next.task().run();
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
