package io.lentilstream.entry.concurrent;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/**
 * Runs tasks one at a time, in the order in which they were given, on the threads of
 * another executor. An exception of a task is a broken invariant.
 */
public final class SerialExecutor implements Executor {

	private final Executor executor;

	private final Consumer<Throwable> fatalErrorHandler;

	private final Queue<Runnable> tasks = new ArrayDeque<>();

	private boolean running;

	/**
	 * Creates an executor.
	 * @param executor runs the tasks
	 * @param fatalErrorHandler is told the exception of a task
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
