package io.lentilstream.entry;

import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import io.lentilstream.entry.concurrent.SerialExecutor;

/**
 * Holds the threads of one entry daemon.
 */
final class EntryThreads implements AutoCloseable {

	private static final int TIMER_THREADS = 2;

	private static final int DECISION_THREADS = 4;

	private final ScheduledThreadPoolExecutor timers;

	private final ExecutorService decisions;

	private final Consumer<Throwable> brokenInvariant;

	EntryThreads(String name, Consumer<Throwable> brokenInvariant) {
		this.timers = new ScheduledThreadPoolExecutor(TIMER_THREADS, named(name + "-timer-"));
		this.timers.setRemoveOnCancelPolicy(true);
		this.decisions = Executors.newFixedThreadPool(DECISION_THREADS, named(name + "-decisions-"));
		this.brokenInvariant = brokenInvariant;
	}

	ScheduledExecutorService timers() {
		return this.timers;
	}

	Executor newSerial() {
		return new SerialExecutor(this::execute, this.brokenInvariant);
	}

	// After the end of the daemon, late replies of calls still arrive; they are dropped.
	private void execute(Runnable task) {
		if (!this.decisions.isShutdown()) {
			this.decisions.execute(task);
		}
	}

	@Override
	public void close() {
		this.timers.shutdownNow();
		this.decisions.shutdown();
		try {
			if (!this.decisions.awaitTermination(2, TimeUnit.SECONDS)) {
				this.decisions.shutdownNow();
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static ThreadFactory named(String prefix) {
		AtomicInteger next = new AtomicInteger();
		return (task) -> {
			Thread thread = new Thread(task, prefix + next.incrementAndGet());
			thread.setDaemon(true);
			return thread;
		};
	}

}
