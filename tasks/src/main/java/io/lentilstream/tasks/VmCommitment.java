package io.lentilstream.tasks;

import io.lentilstream.model.Resources;
import io.lentilstream.model.VmId;

/**
 * Shows what is committed on a VM.
 *
 * @param vm the VM
 * @param capacity what the VM holds
 * @param committed what is committed to tasks being started, running or being stopped,
 * and to tasks possibly started by an earlier owner
 * @param tasks the number of tasks that hold a commitment
 */
public record VmCommitment(VmId vm, Resources capacity, Resources committed, int tasks) {
}
