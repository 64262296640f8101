package io.lentilstream.tasks;

import io.lentilstream.model.Resources;
import io.lentilstream.model.VmId;

/**
 * The capacity of a VM and the part of it that is committed to tasks.
 *
 * @param vm the VM
 * @param capacity the capacity of the VM
 * @param committed the capacity that is committed to tasks that are starting, running or
 * being stopped, and to tasks that a previous owner may have started
 * @param tasks the number of tasks with a commitment
 */
public record VmCommitment(VmId vm, Resources capacity, Resources committed, int tasks) {
}
