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
 * The thread pools of one entry daemon.
 */
final class EntryThreads implements AutoCloseable {

	private static final int TIMER_THREADS = 2;

	private static final int DECISION_THREADS = 4;

	private final ScheduledThreadPoolExecutor timers;

	private final ExecutorService decisionThreads;

	private final Consumer<Throwable> fatalErrorHandler;

	EntryThreads(String name, Consumer<Throwable> fatalErrorHandler) {
		this.timers = new ScheduledThreadPoolExecutor(TIMER_THREADS, threadFactory(name + "-timer-"));
		this.timers.setRemoveOnCancelPolicy(true);
		this.decisionThreads = Executors.newFixedThreadPool(DECISION_THREADS, threadFactory(name + "-decisions-"));
		this.fatalErrorHandler = fatalErrorHandler;
	}

	ScheduledExecutorService timers() {
		return this.timers;
	}

	Executor newSerialExecutor() {
		return new SerialExecutor(this::execute, this.fatalErrorHandler);
	}

	// Replies that arrive after the daemon was closed are dropped.
	private void execute(Runnable task) {
		if (!this.decisionThreads.isShutdown()) {
			this.decisionThreads.execute(task);
		}
	}

	@Override
	public void close() {
		this.timers.shutdownNow();
		this.decisionThreads.shutdown();
		try {
			if (!this.decisionThreads.awaitTermination(2, TimeUnit.SECONDS)) {
				this.decisionThreads.shutdownNow();
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static ThreadFactory threadFactory(String prefix) {
		AtomicInteger next = new AtomicInteger();
		return (task) -> {
			Thread thread = new Thread(task, prefix + next.incrementAndGet());
			thread.setDaemon(true);
			return thread;
		};
	}

}
