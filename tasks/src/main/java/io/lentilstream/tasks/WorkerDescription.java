package io.lentilstream.tasks;

import java.util.Objects;

import io.lentilstream.model.RackId;
import io.lentilstream.model.Resources;
import io.lentilstream.model.VmId;

/**
 * Describes a worker of the shard as the live list has it.
 *
 * @param vm the VM
 * @param rack the rack
 * @param capacity what the VM holds
 * @param leaving whether the VM must get no new work
 */
public record WorkerDescription(VmId vm, RackId rack, Resources capacity, boolean leaving) {

	public WorkerDescription {
		Objects.requireNonNull(vm);
		Objects.requireNonNull(rack);
		Objects.requireNonNull(capacity);
	}

}
