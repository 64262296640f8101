package io.lentilstream.requests;

import java.util.Arrays;

/**
 * Binary heap of timers from which any timer is removed in logarithmic time, so that a
 * finished request with a distant deadline leaves no entry behind. Not thread-safe.
 */
final class TimerQueue {

	private static final int INITIAL_CAPACITY = 64;

	private Timer[] heap = new Timer[INITIAL_CAPACITY];

	private int size;

	Timer schedule(long at, Runnable task) {
		Timer timer = new Timer(at, task);
		if (this.size == this.heap.length) {
			this.heap = Arrays.copyOf(this.heap, this.size * 2);
		}
		siftUp(this.size++, timer);
		return timer;
	}

	void cancel(Timer timer) {
		if (timer == null || timer.index < 0) {
			return;
		}
		int index = timer.index;
		timer.index = -1;
		Timer last = this.heap[--this.size];
		this.heap[this.size] = null;
		if (last != timer) {
			siftDown(index, last);
			if (this.heap[index] == last) {
				siftUp(index, last);
			}
		}
	}

	Timer first() {
		return this.heap[0];
	}

	/**
	 * Removes the earliest timer if it is due.
	 * @param now the current instant, in nanoseconds
	 * @return the task of the timer, or {@code null} if none is due
	 */
	Runnable pollDue(long now) {
		Timer first = this.heap[0];
		if (first == null || first.at - now > 0) {
			return null;
		}
		cancel(first);
		return first.task;
	}

	int size() {
		return this.size;
	}

	private void siftUp(int start, Timer timer) {
		int index = start;
		while (index > 0) {
			int parent = (index - 1) >>> 1;
			if (this.heap[parent].at - timer.at <= 0) {
				break;
			}
			place(index, this.heap[parent]);
			index = parent;
		}
		place(index, timer);
	}

	private void siftDown(int start, Timer timer) {
		int index = start;
		while (2 * index + 1 < this.size) {
			int child = 2 * index + 1;
			if (child + 1 < this.size && this.heap[child + 1].at - this.heap[child].at < 0) {
				child++;
			}
			if (timer.at - this.heap[child].at <= 0) {
				break;
			}
			place(index, this.heap[child]);
			index = child;
		}
		place(index, timer);
	}

	private void place(int index, Timer timer) {
		this.heap[index] = timer;
		timer.index = index;
	}

	/**
	 * A task that is due at an instant.
	 */
	static final class Timer {

		private final long at;

		private final Runnable task;

		private int index;

		Timer(long at, Runnable task) {
			this.at = at;
			this.task = task;
		}

		long at() {
			return this.at;
		}

	}

}
