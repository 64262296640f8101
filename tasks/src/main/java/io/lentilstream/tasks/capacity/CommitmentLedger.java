package io.lentilstream.tasks.capacity;

import java.util.ArrayList;
import java.util.List;

import io.lentilstream.model.Resources;

/**
 * Keeps what is committed on each VM and refuses commitments over its capacity. Urgent
 * tasks may use the whole VM; other tasks leave the reserved part free. Every method is
 * atomic.
 */
public final class CommitmentLedger {

	private final List<Account> accounts = new ArrayList<>();

	private final CapacityIndex urgentRoom = new CapacityIndex();

	private final CapacityIndex otherRoom = new CapacityIndex();

	private final CapacityIndex roomAfterYield = new CapacityIndex();

	private final double reservedShare;

	private Resources total = Resources.NONE;

	/**
	 * Creates a ledger without VMs.
	 * @param reservedShare the share of each VM that only urgent tasks get
	 */
	public CommitmentLedger(double reservedShare) {
		this.reservedShare = reservedShare;
	}

	/**
	 * Adds a closed VM without capacity.
	 * @return the index of the VM, from 0
	 */
	public synchronized int add() {
		this.accounts.add(new Account());
		return this.accounts.size() - 1;
	}

	/**
	 * Sets the capacity of a VM. Commitments that no longer fit stay.
	 * @param vm the index of the VM
	 * @param capacity the capacity
	 */
	public synchronized void setCapacity(int vm, Resources capacity) {
		Account account = this.accounts.get(vm);
		if (account.listed) {
			this.total = this.total.minus(account.capacity).plus(capacity);
		}
		account.capacity = capacity;
		refresh(vm);
	}

	/**
	 * Sets whether a VM counts for the capacity of all VMs.
	 * @param vm the index of the VM
	 * @param listed whether the VM is listed
	 */
	public synchronized void setListed(int vm, boolean listed) {
		Account account = this.accounts.get(vm);
		if (account.listed != listed) {
			account.listed = listed;
			this.total = listed ? this.total.plus(account.capacity) : this.total.minus(account.capacity);
		}
	}

	/**
	 * Sets whether a VM accepts new commitments.
	 * @param vm the index of the VM
	 * @param open whether new commitments are allowed
	 */
	public synchronized void setSchedulable(int vm, boolean open) {
		Account account = this.accounts.get(vm);
		if (account.open != open) {
			account.open = open;
			refresh(vm);
		}
	}

	/**
	 * Keeps a VM for urgent tasks while room is made for one.
	 * @param vm the index of the VM
	 * @param urgentOnly whether only urgent tasks may be committed
	 */
	public synchronized void setUrgentOnly(int vm, boolean urgentOnly) {
		Account account = this.accounts.get(vm);
		if (account.urgentOnly != urgentOnly) {
			account.urgentOnly = urgentOnly;
			refresh(vm);
		}
	}

	/**
	 * Commits capacity if the VM is open and has room.
	 * @param vm the index of the VM
	 * @param size the size
	 * @param urgent whether the task is urgent
	 * @return whether the capacity was committed
	 */
	public synchronized boolean tryCommit(int vm, Resources size, boolean urgent) {
		Account account = this.accounts.get(vm);
		if (!account.open || (!urgent && account.urgentOnly)) {
			return false;
		}
		if (!size.fitsWithin(free(account, urgent))) {
			return false;
		}
		commit(vm, size, urgent);
		return true;
	}

	/**
	 * Raises a commitment if the VM has room for the difference.
	 * @param vm the index of the VM
	 * @param from the present size
	 * @param to the new size; not smaller in any part
	 * @param urgent whether the task is urgent
	 * @return whether the commitment was raised
	 */
	public synchronized boolean tryIncrease(int vm, Resources from, Resources to, boolean urgent) {
		Account account = this.accounts.get(vm);
		Resources difference = to.minus(from);
		if (!difference.fitsWithin(free(account, urgent))) {
			return false;
		}
		commit(vm, difference, urgent);
		return true;
	}

	/**
	 * Commits capacity for a task that may already hold it under an earlier owner. The VM
	 * may be closed and its capacity not known yet.
	 * @param vm the index of the VM
	 * @param size the size
	 * @param urgent whether the task is urgent
	 */
	public synchronized void commitUnchecked(int vm, Resources size, boolean urgent) {
		commit(vm, size, urgent);
	}

	/**
	 * Releases capacity.
	 * @param vm the index of the VM
	 * @param size the committed size
	 * @param urgent whether the task is urgent
	 */
	public synchronized void release(int vm, Resources size, boolean urgent) {
		Account account = this.accounts.get(vm);
		Resources part = (urgent ? account.urgent : account.other).minus(size);
		if (!Resources.NONE.fitsWithin(part)) {
			throw new IllegalStateException("more capacity released than committed");
		}
		if (urgent) {
			account.urgent = part;
		}
		else {
			account.other = part;
		}
		refresh(vm);
	}

	/**
	 * Returns the first open VM at or after an index that has room.
	 * @param from the first index to consider
	 * @param size the size
	 * @param urgent whether the task is urgent
	 * @return the index of the VM, or -1
	 */
	public synchronized int find(int from, Resources size, boolean urgent) {
		return (urgent ? this.urgentRoom : this.otherRoom).find(from, size);
	}

	/**
	 * Returns the first open VM at or after an index that would have room after the
	 * eviction of all its tasks that are not urgent.
	 * @param from the first index to consider
	 * @param size the size
	 * @return the index of the VM, or -1
	 */
	public synchronized int findAfterEviction(int from, Resources size) {
		return this.roomAfterYield.find(from, size);
	}

	/**
	 * Tells whether an open VM has room.
	 * @param vm the index of the VM
	 * @param size the size
	 * @param urgent whether the task is urgent
	 * @return whether {@link #tryCommit} would succeed
	 */
	public synchronized boolean canCommit(int vm, Resources size, boolean urgent) {
		Account account = this.accounts.get(vm);
		return account.open && (urgent || !account.urgentOnly) && size.fitsWithin(free(account, urgent));
	}

	/**
	 * Returns what is free on a VM for a task, whether or not the VM is open.
	 * @param vm the index of the VM
	 * @param urgent whether the task is urgent
	 * @return the free amount; parts may be negative
	 */
	public synchronized Resources free(int vm, boolean urgent) {
		return free(this.accounts.get(vm), urgent);
	}

	/**
	 * Returns what is committed on a VM.
	 * @param vm the index of the VM
	 * @return the committed amount
	 */
	public synchronized Resources committed(int vm) {
		Account account = this.accounts.get(vm);
		return account.urgent.plus(account.other);
	}

	/**
	 * Returns the capacity of a VM.
	 * @param vm the index of the VM
	 * @return the capacity
	 */
	public synchronized Resources capacity(int vm) {
		return this.accounts.get(vm).capacity;
	}

	/**
	 * Returns the capacity of all listed VMs.
	 * @return the capacity
	 */
	public synchronized Resources totalCapacity() {
		return this.total;
	}

	/**
	 * Returns the largest size that a task can have on a VM.
	 * @param capacity the capacity of the VM
	 * @param urgent whether the task is urgent
	 * @return the largest size
	 */
	public Resources largestTaskSize(Resources capacity, boolean urgent) {
		return urgent ? capacity : capacity.minus(reserve(capacity));
	}

	private void commit(int vm, Resources size, boolean urgent) {
		Account account = this.accounts.get(vm);
		if (urgent) {
			account.urgent = account.urgent.plus(size);
		}
		else {
			account.other = account.other.plus(size);
		}
		refresh(vm);
	}

	private Resources free(Account account, boolean urgent) {
		Resources free = account.capacity.minus(account.urgent).minus(account.other);
		if (urgent) {
			return free;
		}
		Resources reserved = reserve(account.capacity).minus(account.urgent);
		return new Resources(free.milliCores() - Math.max(0, reserved.milliCores()),
				free.memoryMegabytes() - Math.max(0, reserved.memoryMegabytes()), free.accelerators());
	}

	// Accelerators are few and whole, so no share of them is reserved.
	private Resources reserve(Resources capacity) {
		return new Resources((long) (capacity.milliCores() * this.reservedShare),
				(long) (capacity.memoryMegabytes() * this.reservedShare), 0);
	}

	private void refresh(int vm) {
		Account account = this.accounts.get(vm);
		if (!account.open) {
			this.urgentRoom.close(vm);
			this.otherRoom.close(vm);
			this.roomAfterYield.close(vm);
			return;
		}
		this.urgentRoom.set(vm, free(account, true));
		this.roomAfterYield.set(vm, account.capacity.minus(account.urgent));
		if (account.urgentOnly) {
			this.otherRoom.close(vm);
		}
		else {
			this.otherRoom.set(vm, free(account, false));
		}
	}

	private static final class Account {

		private Resources capacity = Resources.NONE;

		private Resources urgent = Resources.NONE;

		private Resources other = Resources.NONE;

		private boolean listed;

		private boolean open;

		private boolean urgentOnly;

	}

}
