package io.lentilstream.tasks.capacity;

import java.util.ArrayList;
import java.util.List;

import io.lentilstream.model.Resources;

/**
 * The capacity of each VM and the part of it that is committed to tasks. Commitments that
 * exceed the capacity are refused. Urgent tasks may use the whole VM, other tasks must
 * leave the reserved share free. Every method is atomic.
 */
public final class CommitmentLedger {

	private final List<VmAllocation> allocations = new ArrayList<>();

	private final CapacityIndex urgentIndex = new CapacityIndex();

	private final CapacityIndex nonUrgentIndex = new CapacityIndex();

	private final CapacityIndex afterEvictionIndex = new CapacityIndex();

	private final double reservedShare;

	private Resources total = Resources.NONE;

	/**
	 * Creates a ledger without VMs.
	 * @param reservedShare the share of cores and memory of each VM that only urgent
	 * tasks may use, from 0 to 1
	 */
	public CommitmentLedger(double reservedShare) {
		this.reservedShare = reservedShare;
	}

	/**
	 * Adds an unschedulable VM without capacity.
	 * @return the index of the VM, from 0
	 */
	public synchronized int add() {
		this.allocations.add(new VmAllocation());
		return this.allocations.size() - 1;
	}

	/**
	 * Sets the capacity of a VM. Commitments that no longer fit are kept.
	 * @param vm the index of the VM
	 * @param capacity the capacity
	 */
	public synchronized void setCapacity(int vm, Resources capacity) {
		VmAllocation allocation = this.allocations.get(vm);
		if (allocation.listed) {
			this.total = this.total.minus(allocation.capacity).plus(capacity);
		}
		allocation.capacity = capacity;
		updateIndexes(vm);
	}

	/**
	 * Sets whether the capacity of a VM is included in the total capacity.
	 * @param vm the index of the VM
	 * @param listed whether the VM is listed
	 */
	public synchronized void setListed(int vm, boolean listed) {
		VmAllocation allocation = this.allocations.get(vm);
		if (allocation.listed != listed) {
			allocation.listed = listed;
			this.total = listed ? this.total.plus(allocation.capacity) : this.total.minus(allocation.capacity);
		}
	}

	/**
	 * Sets whether a VM accepts new commitments.
	 * @param vm the index of the VM
	 * @param schedulable whether new commitments are allowed
	 */
	public synchronized void setSchedulable(int vm, boolean schedulable) {
		VmAllocation allocation = this.allocations.get(vm);
		if (allocation.schedulable != schedulable) {
			allocation.schedulable = schedulable;
			updateIndexes(vm);
		}
	}

	/**
	 * Sets whether a VM is restricted to urgent tasks, while capacity is freed for one.
	 * @param vm the index of the VM
	 * @param urgentOnly whether only urgent tasks may be committed
	 */
	public synchronized void setUrgentOnly(int vm, boolean urgentOnly) {
		VmAllocation allocation = this.allocations.get(vm);
		if (allocation.urgentOnly != urgentOnly) {
			allocation.urgentOnly = urgentOnly;
			updateIndexes(vm);
		}
	}

	/**
	 * Commits capacity if the VM is schedulable and has enough free capacity.
	 * @param vm the index of the VM
	 * @param size the size
	 * @param urgent whether the task is urgent
	 * @return whether the capacity was committed
	 */
	public synchronized boolean tryCommit(int vm, Resources size, boolean urgent) {
		VmAllocation allocation = this.allocations.get(vm);
		if (!allocation.schedulable || (!urgent && allocation.urgentOnly)) {
			return false;
		}
		if (!size.fitsWithin(free(allocation, urgent))) {
			return false;
		}
		commit(vm, size, urgent);
		return true;
	}

	/**
	 * Increases a commitment if the VM has enough free capacity for the difference.
	 * @param vm the index of the VM
	 * @param from the current size
	 * @param to the new size; no resource may be smaller than in the current size
	 * @param urgent whether the task is urgent
	 * @return whether the commitment was increased
	 */
	public synchronized boolean tryIncrease(int vm, Resources from, Resources to, boolean urgent) {
		VmAllocation allocation = this.allocations.get(vm);
		Resources difference = to.minus(from);
		if (!difference.fitsWithin(free(allocation, urgent))) {
			return false;
		}
		commit(vm, difference, urgent);
		return true;
	}

	/**
	 * Commits capacity without a check, for a task that a previous owner may have
	 * started. The VM may be unschedulable and its capacity may not be known yet.
	 * @param vm the index of the VM
	 * @param size the size
	 * @param urgent whether the task is urgent
	 */
	public synchronized void commitUnchecked(int vm, Resources size, boolean urgent) {
		commit(vm, size, urgent);
	}

	/**
	 * Releases committed capacity.
	 * @param vm the index of the VM
	 * @param size the committed size
	 * @param urgent whether the task is urgent
	 */
	public synchronized void release(int vm, Resources size, boolean urgent) {
		VmAllocation allocation = this.allocations.get(vm);
		Resources remaining = (urgent ? allocation.urgent : allocation.nonUrgent).minus(size);
		if (!Resources.NONE.fitsWithin(remaining)) {
			throw new IllegalStateException("more capacity released than committed");
		}
		if (urgent) {
			allocation.urgent = remaining;
		}
		else {
			allocation.nonUrgent = remaining;
		}
		updateIndexes(vm);
	}

	/**
	 * Returns the first schedulable VM with enough free capacity at or after an index.
	 * @param from the first index to consider
	 * @param size the size
	 * @param urgent whether the task is urgent
	 * @return the index of the VM, or -1 if there is none
	 */
	public synchronized int find(int from, Resources size, boolean urgent) {
		return (urgent ? this.urgentIndex : this.nonUrgentIndex).find(from, size);
	}

	/**
	 * Returns the first schedulable VM at or after an index that would have enough free
	 * capacity if all its tasks that are not urgent were evicted.
	 * @param from the first index to consider
	 * @param size the size
	 * @return the index of the VM, or -1 if there is none
	 */
	public synchronized int findAfterEviction(int from, Resources size) {
		return this.afterEvictionIndex.find(from, size);
	}

	/**
	 * Returns whether a VM is schedulable and has enough free capacity.
	 * @param vm the index of the VM
	 * @param size the size
	 * @param urgent whether the task is urgent
	 * @return whether {@link #tryCommit} would succeed
	 */
	public synchronized boolean canCommit(int vm, Resources size, boolean urgent) {
		VmAllocation allocation = this.allocations.get(vm);
		return allocation.schedulable && (urgent || !allocation.urgentOnly)
				&& size.fitsWithin(free(allocation, urgent));
	}

	/**
	 * Returns the free capacity of a VM, whether or not the VM is schedulable.
	 * @param vm the index of the VM
	 * @param urgent whether the task is urgent
	 * @return the free capacity; amounts may be negative
	 */
	public synchronized Resources free(int vm, boolean urgent) {
		return free(this.allocations.get(vm), urgent);
	}

	/**
	 * Returns the capacity that is committed on a VM.
	 * @param vm the index of the VM
	 * @return the committed capacity
	 */
	public synchronized Resources committed(int vm) {
		VmAllocation allocation = this.allocations.get(vm);
		return allocation.urgent.plus(allocation.nonUrgent);
	}

	/**
	 * Returns the capacity of a VM.
	 * @param vm the index of the VM
	 * @return the capacity
	 */
	public synchronized Resources capacity(int vm) {
		return this.allocations.get(vm).capacity;
	}

	/**
	 * Returns the total capacity of all listed VMs.
	 * @return the total capacity
	 */
	public synchronized Resources totalCapacity() {
		return this.total;
	}

	/**
	 * Returns the largest size of a task that fits on an otherwise empty VM.
	 * @param capacity the capacity of the VM
	 * @param urgent whether the task is urgent
	 * @return the largest size
	 */
	public Resources largestTaskSize(Resources capacity, boolean urgent) {
		return urgent ? capacity : capacity.minus(reservedCapacity(capacity));
	}

	private void commit(int vm, Resources size, boolean urgent) {
		VmAllocation allocation = this.allocations.get(vm);
		if (urgent) {
			allocation.urgent = allocation.urgent.plus(size);
		}
		else {
			allocation.nonUrgent = allocation.nonUrgent.plus(size);
		}
		updateIndexes(vm);
	}

	private Resources free(VmAllocation allocation, boolean urgent) {
		Resources free = allocation.capacity.minus(allocation.urgent).minus(allocation.nonUrgent);
		if (urgent) {
			return free;
		}
		Resources reserved = reservedCapacity(allocation.capacity).minus(allocation.urgent);
		return new Resources(free.milliCores() - Math.max(0, reserved.milliCores()),
				free.memoryMegabytes() - Math.max(0, reserved.memoryMegabytes()), free.accelerators());
	}

	// Accelerators are few and indivisible, so no share of them is reserved.
	private Resources reservedCapacity(Resources capacity) {
		return new Resources((long) (capacity.milliCores() * this.reservedShare),
				(long) (capacity.memoryMegabytes() * this.reservedShare), 0);
	}

	private void updateIndexes(int vm) {
		VmAllocation allocation = this.allocations.get(vm);
		if (!allocation.schedulable) {
			this.urgentIndex.setUnschedulable(vm);
			this.nonUrgentIndex.setUnschedulable(vm);
			this.afterEvictionIndex.setUnschedulable(vm);
			return;
		}
		this.urgentIndex.setFree(vm, free(allocation, true));
		this.afterEvictionIndex.setFree(vm, allocation.capacity.minus(allocation.urgent));
		if (allocation.urgentOnly) {
			this.nonUrgentIndex.setUnschedulable(vm);
		}
		else {
			this.nonUrgentIndex.setFree(vm, free(allocation, false));
		}
	}

	private static final class VmAllocation {

		private Resources capacity = Resources.NONE;

		private Resources urgent = Resources.NONE;

		private Resources nonUrgent = Resources.NONE;

		private boolean listed;

		private boolean schedulable;

		private boolean urgentOnly;

	}

}
