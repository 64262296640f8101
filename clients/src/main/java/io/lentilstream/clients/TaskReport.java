package io.lentilstream.clients;

import java.util.Optional;

import io.lentilstream.model.Epoch;
import io.lentilstream.model.Resources;
import io.lentilstream.model.TaskId;

/**
 * Is what a worker reports about one of its tasks. Usage lags behind.
 *
 * @param task the task
 * @param state the state at the worker
 * @param epoch the epoch of the command that started the task
 * @param declared the size that the task was started with
 * @param used the measured use, as of some seconds ago
 * @param slowdown the measured run time relative to an undisturbed run; 1 is undisturbed
 * @param checkpoint the last complete checkpoint, if any
 * @param failure the reason of the failure, if the task failed
 */
public record TaskReport(TaskId task, State state, Epoch epoch, Resources declared, Resources used, double slowdown,
		Optional<String> checkpoint, Optional<String> failure) {

	/**
	 * The state of a task at its worker.
	 */
	public enum State {

		/** The task runs. */
		RUNNING,

		/** The task finished. */
		DONE,

		/** The task failed. */
		FAILED,

		/** The task was stopped or its lease lapsed. */
		STOPPED

	}

}
