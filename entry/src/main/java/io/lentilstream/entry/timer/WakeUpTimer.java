package io.lentilstream.entry.timer;

import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import io.lentilstream.model.MonotonicClock;
import io.lentilstream.model.MonotonicTime;

/**
 * A timer that runs a task at the next deadline of a state machine. At most one run is
 * scheduled; an earlier deadline replaces a later one.
 */
public final class WakeUpTimer implements AutoCloseable {

	private final ScheduledExecutorService executor;

	private final MonotonicClock clock;

	private final Runnable task;

	private ScheduledFuture<?> scheduled;

	private MonotonicTime due;

	private boolean closed;

	/**
	 * Creates a timer.
	 * @param executor schedules the task
	 * @param clock the clock that the deadlines refer to
	 * @param task the task to run at a deadline
	 */
	public WakeUpTimer(ScheduledExecutorService executor, MonotonicClock clock, Runnable task) {
		this.executor = executor;
		this.clock = clock;
		this.task = task;
	}

	/**
	 * Schedules the task at a deadline unless it is already scheduled earlier.
	 * @param deadline the next deadline; empty has no effect
	 */
	public synchronized void scheduleAt(Optional<MonotonicTime> deadline) {
		if (this.closed || deadline.isEmpty()) {
			return;
		}
		if (this.due != null && !deadline.get().isBefore(this.due)) {
			return;
		}
		if (this.scheduled != null) {
			this.scheduled.cancel(false);
		}
		this.due = deadline.get();
		long delay = Math.max(0, this.clock.now().until(this.due).toNanos());
		this.scheduled = this.executor.schedule(this::run, delay, TimeUnit.NANOSECONDS);
	}

	private void run() {
		synchronized (this) {
			if (this.closed) {
				return;
			}
			this.due = null;
			this.scheduled = null;
		}
		this.task.run();
	}

	@Override
	public synchronized void close() {
		this.closed = true;
		if (this.scheduled != null) {
			this.scheduled.cancel(false);
		}
	}

}
