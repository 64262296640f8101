package io.lentilstream.tasks;

import java.util.Optional;

import io.lentilstream.model.Resources;
import io.lentilstream.model.TaskId;
import io.lentilstream.model.VmId;

/**
 * A view of a task for operators and submitters.
 *
 * @param task the id under which workers know the task
 * @param index the index of the task within its job, from 0
 * @param state the state
 * @param vm the VM on which capacity is committed to the task, if any and if known
 * @param committed the capacity that is committed to the task
 * @param checkpoint the latest complete checkpoint, if any
 * @param evictions the number of evictions under this owner
 */
public record TaskView(TaskId task, int index, TaskState state, Optional<VmId> vm, Resources committed,
		Optional<String> checkpoint, int evictions) {
}
