package io.lentilstream.entry.fakes;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.Delayed;
import java.util.concurrent.FutureTask;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import io.lentilstream.model.MonotonicClock;
import io.lentilstream.model.MonotonicTime;

/**
 * A manual clock and scheduled executor. Tasks run on the thread of the test when it
 * advances the clock.
 */
public final class ManualTimers extends ScheduledThreadPoolExecutor implements MonotonicClock {

	private final List<Entry> entries = new ArrayList<>();

	private MonotonicTime now = MonotonicTime.ofMillis(1_000);

	public ManualTimers() {
		super(0);
	}

	@Override
	public MonotonicTime now() {
		return this.now;
	}

	public void advance(Duration duration) {
		MonotonicTime end = this.now.plus(duration);
		while (true) {
			Entry next = this.entries.stream().min(Comparator.comparing((entry) -> entry.due)).orElse(null);
			if (next == null || next.due.isAfter(end)) {
				break;
			}
			this.entries.remove(next);
			this.now = next.due.isAfter(this.now) ? next.due : this.now;
			next.run();
		}
		this.now = end;
	}

	@Override
	public void execute(Runnable task) {
		task.run();
	}

	@Override
	public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
		return add(task, unit.toNanos(delay), 0);
	}

	@Override
	public <V> ScheduledFuture<V> schedule(Callable<V> task, long delay, TimeUnit unit) {
		throw new UnsupportedOperationException();
	}

	@Override
	public ScheduledFuture<?> scheduleAtFixedRate(Runnable task, long delay, long period, TimeUnit unit) {
		return add(task, unit.toNanos(delay), unit.toNanos(period));
	}

	private Entry add(Runnable task, long delayNanos, long periodNanos) {
		Entry entry = new Entry(task, this.now.plus(Duration.ofNanos(delayNanos)), periodNanos);
		this.entries.add(entry);
		return entry;
	}

	private final class Entry extends FutureTask<Void> implements ScheduledFuture<Void> {

		private final long periodNanos;

		private final Runnable task;

		private MonotonicTime due;

		Entry(Runnable task, MonotonicTime due, long periodNanos) {
			super(task, null);
			this.task = task;
			this.due = due;
			this.periodNanos = periodNanos;
		}

		@Override
		public void run() {
			if (isCancelled()) {
				return;
			}
			this.task.run();
			if (this.periodNanos > 0) {
				this.due = this.due.plus(Duration.ofNanos(this.periodNanos));
				ManualTimers.this.entries.add(this);
			}
		}

		@Override
		public boolean cancel(boolean mayInterrupt) {
			ManualTimers.this.entries.remove(this);
			return super.cancel(mayInterrupt);
		}

		@Override
		public long getDelay(TimeUnit unit) {
			return unit.convert(ManualTimers.this.now.until(this.due));
		}

		@Override
		public int compareTo(Delayed other) {
			return Long.compare(getDelay(TimeUnit.NANOSECONDS), other.getDelay(TimeUnit.NANOSECONDS));
		}

	}

}
