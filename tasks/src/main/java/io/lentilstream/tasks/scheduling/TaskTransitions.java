package io.lentilstream.tasks.scheduling;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

import io.lentilstream.tasks.TaskState;

/**
 * Holds the rules of the lifecycle, one line per rule. An event without a rule is a
 * broken invariant.
 */
final class TaskTransitions {

	private static final Map<TaskState, Map<TaskEvent, TaskState>> RULES = new EnumMap<>(TaskState.class);

	static {
		rule(TaskState.PENDING, TaskEvent.PLACED, TaskState.STARTING);
		rule(TaskState.EVICTED, TaskEvent.PLACED, TaskState.STARTING);
		rule(TaskState.STARTING, TaskEvent.START_CONFIRMED, TaskState.RUNNING);
		rule(TaskState.STARTING, TaskEvent.RESUME_CONFIRMED, TaskState.RESUMED);
		rule(TaskState.RUNNING, TaskEvent.CHECKPOINT_REQUESTED, TaskState.CHECKPOINTING);
		rule(TaskState.RESUMED, TaskEvent.CHECKPOINT_REQUESTED, TaskState.CHECKPOINTING);
		rule(TaskState.RUNNING, TaskEvent.STOP_REQUESTED, TaskState.EVICTED);
		rule(TaskState.RESUMED, TaskEvent.STOP_REQUESTED, TaskState.EVICTED);
		rule(TaskState.CHECKPOINTING, TaskEvent.STOP_REQUESTED, TaskState.EVICTED);
		rule(TaskState.STARTING, TaskEvent.PLACEMENT_LOST, TaskState.PENDING);
		rule(TaskState.RUNNING, TaskEvent.PLACEMENT_LOST, TaskState.PENDING);
		rule(TaskState.RESUMED, TaskEvent.PLACEMENT_LOST, TaskState.PENDING);
		rule(TaskState.CHECKPOINTING, TaskEvent.PLACEMENT_LOST, TaskState.PENDING);
		rule(TaskState.EVICTED, TaskEvent.PLACEMENT_LOST, TaskState.EVICTED);
		for (TaskState state : TaskState.values()) {
			if (state.isEnded()) {
				rule(state, TaskEvent.PLACEMENT_LOST, state);
			}
			else {
				rule(state, TaskEvent.FINISHED, TaskState.DONE);
				rule(state, TaskEvent.GIVEN_UP, TaskState.FAILED);
				rule(state, TaskEvent.CANCELLED, TaskState.CANCELLED);
			}
		}
	}

	private TaskTransitions() {
	}

	/**
	 * Returns the state after an event.
	 * @param state the state before
	 * @param event the event
	 * @return the state after; empty if there is no rule
	 */
	static Optional<TaskState> next(TaskState state, TaskEvent event) {
		Map<TaskEvent, TaskState> rules = RULES.get(state);
		return (rules != null) ? Optional.ofNullable(rules.get(event)) : Optional.empty();
	}

	private static void rule(TaskState from, TaskEvent event, TaskState to) {
		RULES.computeIfAbsent(from, (state) -> new EnumMap<>(TaskEvent.class)).put(event, to);
	}

}
