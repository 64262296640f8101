package io.lentilstream.entry.concurrent;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/**
 * An executor that runs tasks one at a time, in the order of submission, on the threads
 * of another executor. An exception thrown by a task is a fatal error.
 */
public final class SerialExecutor implements Executor {

	private final Executor executor;

	private final Consumer<Throwable> fatalErrorHandler;

	private final Queue<Runnable> tasks = new ArrayDeque<>();

	private boolean running;

	/**
	 * Creates an executor.
	 * @param executor provides the threads
	 * @param fatalErrorHandler handles an exception thrown by a task
	 */
	public SerialExecutor(Executor executor, Consumer<Throwable> fatalErrorHandler) {
		this.executor = executor;
		this.fatalErrorHandler = fatalErrorHandler;
	}

	@Override
	public void execute(Runnable task) {
		synchronized (this.tasks) {
			this.tasks.add(task);
			if (this.running) {
				return;
			}
			this.running = true;
		}
		this.executor.execute(this::runQueuedTasks);
	}

	private void runQueuedTasks() {
		while (true) {
			Runnable task;
			synchronized (this.tasks) {
				task = this.tasks.poll();
				if (task == null) {
					this.running = false;
					return;
				}
			}
			try {
				task.run();
			}
			catch (RuntimeException | Error ex) {
				this.fatalErrorHandler.accept(ex);
			}
		}
	}

}
