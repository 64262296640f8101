package io.lentilstream.standin;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

import com.google.common.flogger.FluentLogger;

import io.lentilstream.model.MonotonicClock;
import io.lentilstream.model.MonotonicTime;

/**
 * Runs actions when they are due by the injected clock.
 */
final class TimerQueue {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	/**
	 * Longest wait for the next look at the clock, in nanoseconds. An injected clock can
	 * jump, so the thread cannot sleep until the due time of its first timer.
	 */
	private static final long LOOK_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

	private final MonotonicClock clock;

	private final ReentrantLock lock = new ReentrantLock();

	private final Condition changed = this.lock.newCondition();

	private final PriorityQueue<Timer> timers = new PriorityQueue<>(
			Comparator.comparing(Timer::due).thenComparingLong(Timer::order));

	private long nextOrder;

	private boolean stopped;

	private Thread thread;

	TimerQueue(MonotonicClock clock) {
		this.clock = clock;
	}

	MonotonicTime now() {
		return this.clock.now();
	}

	void start() {
		this.thread = new Thread(this::loop, "standin-timers");
		this.thread.setDaemon(true);
		this.thread.start();
	}

	void stop() {
		this.lock.lock();
		try {
			this.stopped = true;
			this.timers.clear();
			this.changed.signalAll();
		}
		finally {
			this.lock.unlock();
		}
	}

	void after(Duration delay, Runnable action) {
		if (delay.isZero()) {
			action.run();
			return;
		}
		at(now().plus(delay), action);
	}

	void at(MonotonicTime due, Runnable action) {
		this.lock.lock();
		try {
			this.timers.add(new Timer(due, this.nextOrder++, action));
			this.changed.signalAll();
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Runs all actions that are due.
	 */
	void runDue() {
		List<Runnable> due = new ArrayList<>();
		this.lock.lock();
		try {
			MonotonicTime now = now();
			while (!this.timers.isEmpty() && !this.timers.peek().due().isAfter(now)) {
				due.add(this.timers.poll().action());
			}
		}
		finally {
			this.lock.unlock();
		}
		due.forEach(TimerQueue::run);
	}

	// A failed action must not end the thread on which all later ones run.
	private static void run(Runnable action) {
		try {
			action.run();
		}
		catch (RuntimeException ex) {
			LOGGER.atWarning().withCause(ex).log("standin: a timer failed");
		}
	}

	private void loop() {
		while (awaitDue()) {
			runDue();
		}
	}

	private boolean awaitDue() {
		this.lock.lock();
		try {
			while (!this.stopped) {
				if (this.timers.isEmpty()) {
					this.changed.await();
					continue;
				}
				long left = now().until(this.timers.peek().due()).toNanos();
				if (left <= 0) {
					return true;
				}
				this.changed.awaitNanos(Math.min(left, LOOK_NANOS));
			}
			return false;
		}
		catch (InterruptedException ex) {
			return false;
		}
		finally {
			this.lock.unlock();
		}
	}

	private record Timer(MonotonicTime due, long order, Runnable action) {
	}

}
