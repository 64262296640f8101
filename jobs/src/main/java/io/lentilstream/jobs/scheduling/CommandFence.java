package io.lentilstream.jobs.scheduling;

import io.lentilstream.jobs.WorkerId;

/**
 * Makes VMs refuse commands that this scheduler sent to them earlier. A VM that restarts
 * under its id would otherwise carry out commands that were meant for its former
 * incarnation.
 */
@FunctionalInterface
public interface CommandFence {

	/** A fence that cannot be raised. */
	CommandFence NONE = (worker) -> false;

	/**
	 * Raises the fence for a VM. Once the VM has received a later command, it refuses all
	 * commands that were sent before this call.
	 * @param worker the VM
	 * @return {@code false} if the fence cannot be raised yet
	 */
	boolean raise(WorkerId worker);

}
