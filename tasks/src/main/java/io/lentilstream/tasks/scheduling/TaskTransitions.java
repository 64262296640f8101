package io.lentilstream.tasks.scheduling;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

import io.lentilstream.tasks.TaskState;

/**
 * The transitions of the task lifecycle. A missing transition is a broken invariant.
 */
final class TaskTransitions {

	private static final Map<TaskState, Map<TaskEvent, TaskState>> TRANSITIONS = new EnumMap<>(TaskState.class);

	static {
		transition(TaskState.PENDING, TaskEvent.PLACED, TaskState.STARTING);
		transition(TaskState.EVICTED, TaskEvent.PLACED, TaskState.STARTING);
		transition(TaskState.STARTING, TaskEvent.START_CONFIRMED, TaskState.RUNNING);
		transition(TaskState.STARTING, TaskEvent.RESUME_CONFIRMED, TaskState.RESUMED);
		transition(TaskState.RUNNING, TaskEvent.CHECKPOINT_REQUESTED, TaskState.CHECKPOINTING);
		transition(TaskState.RESUMED, TaskEvent.CHECKPOINT_REQUESTED, TaskState.CHECKPOINTING);
		transition(TaskState.RUNNING, TaskEvent.STOP_REQUESTED, TaskState.EVICTED);
		transition(TaskState.RESUMED, TaskEvent.STOP_REQUESTED, TaskState.EVICTED);
		transition(TaskState.CHECKPOINTING, TaskEvent.STOP_REQUESTED, TaskState.EVICTED);
		transition(TaskState.STARTING, TaskEvent.PLACEMENT_LOST, TaskState.PENDING);
		transition(TaskState.RUNNING, TaskEvent.PLACEMENT_LOST, TaskState.PENDING);
		transition(TaskState.RESUMED, TaskEvent.PLACEMENT_LOST, TaskState.PENDING);
		transition(TaskState.CHECKPOINTING, TaskEvent.PLACEMENT_LOST, TaskState.PENDING);
		transition(TaskState.EVICTED, TaskEvent.PLACEMENT_LOST, TaskState.EVICTED);
		for (TaskState state : TaskState.values()) {
			if (state.isEnded()) {
				transition(state, TaskEvent.PLACEMENT_LOST, state);
			}
			else {
				transition(state, TaskEvent.FINISHED, TaskState.DONE);
				transition(state, TaskEvent.GIVEN_UP, TaskState.FAILED);
				transition(state, TaskEvent.CANCELLED, TaskState.CANCELLED);
			}
		}
	}

	private TaskTransitions() {
	}

	/**
	 * Returns the state after an event.
	 * @param state the state before
	 * @param event the event
	 * @return the state after; empty if there is no transition
	 */
	static Optional<TaskState> next(TaskState state, TaskEvent event) {
		Map<TaskEvent, TaskState> transitions = TRANSITIONS.get(state);
		return (transitions != null) ? Optional.ofNullable(transitions.get(event)) : Optional.empty();
	}

	private static void transition(TaskState from, TaskEvent event, TaskState to) {
		TRANSITIONS.computeIfAbsent(from, (state) -> new EnumMap<>(TaskEvent.class)).put(event, to);
	}

}
