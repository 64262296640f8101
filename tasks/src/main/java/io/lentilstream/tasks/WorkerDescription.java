package io.lentilstream.tasks;

import java.util.Objects;

import io.lentilstream.model.RackId;
import io.lentilstream.model.Resources;
import io.lentilstream.model.VmId;

/**
 * A worker of the shard as given by the list of live VMs.
 *
 * @param vm the VM
 * @param rack the rack
 * @param capacity the capacity of the VM
 * @param leaving whether the VM is draining and must get no new tasks
 */
public record WorkerDescription(VmId vm, RackId rack, Resources capacity, boolean leaving) {

	public WorkerDescription {
		Objects.requireNonNull(vm);
		Objects.requireNonNull(rack);
		Objects.requireNonNull(capacity);
	}

}
