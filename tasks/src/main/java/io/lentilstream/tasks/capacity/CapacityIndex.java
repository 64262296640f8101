package io.lentilstream.tasks.capacity;

import java.util.Arrays;

import io.lentilstream.model.Resources;

/**
 * A segment tree that finds the next VM with enough free capacity in logarithmic time.
 * Each node holds the maximum of each free resource in its subtree.
 */
final class CapacityIndex {

	private static final long UNSCHEDULABLE = -1;

	private int leafCount;

	private long[] cores;

	private long[] memory;

	private long[] accelerators;

	CapacityIndex() {
		allocate(16);
	}

	void setFree(int vm, Resources free) {
		setLeaf(vm, free.milliCores(), free.memoryMegabytes(), free.accelerators());
	}

	void setUnschedulable(int vm) {
		setLeaf(vm, UNSCHEDULABLE, UNSCHEDULABLE, UNSCHEDULABLE);
	}

	/**
	 * Returns the first VM at or after an index that has enough free capacity.
	 * @param from the first index to consider
	 * @param size the required capacity; not negative
	 * @return the index of the VM, or -1 if there is none
	 */
	int find(int from, Resources size) {
		if (from >= this.leafCount) {
			return -1;
		}
		return find(1, 0, this.leafCount, from, size);
	}

	private int find(int node, int low, int high, int from, Resources size) {
		if (high <= from || !canFit(node, size)) {
			return -1;
		}
		if (high - low == 1) {
			return low;
		}
		int middle = (low + high) >>> 1;
		int left = find(2 * node, low, middle, from, size);
		return (left >= 0) ? left : find(2 * node + 1, middle, high, from, size);
	}

	private boolean canFit(int node, Resources size) {
		return this.cores[node] >= size.milliCores() && this.memory[node] >= size.memoryMegabytes()
				&& this.accelerators[node] >= size.accelerators();
	}

	private void setLeaf(int vm, long freeCores, long freeMemory, long freeAccelerators) {
		while (vm >= this.leafCount) {
			grow();
		}
		int node = this.leafCount + vm;
		this.cores[node] = freeCores;
		this.memory[node] = freeMemory;
		this.accelerators[node] = freeAccelerators;
		for (node >>= 1; node >= 1; node >>= 1) {
			if (!updateNode(node)) {
				return;
			}
		}
	}

	private boolean updateNode(int node) {
		int left = 2 * node;
		long freeCores = Math.max(this.cores[left], this.cores[left + 1]);
		long freeMemory = Math.max(this.memory[left], this.memory[left + 1]);
		long freeAccelerators = Math.max(this.accelerators[left], this.accelerators[left + 1]);
		if (this.cores[node] == freeCores && this.memory[node] == freeMemory
				&& this.accelerators[node] == freeAccelerators) {
			return false;
		}
		this.cores[node] = freeCores;
		this.memory[node] = freeMemory;
		this.accelerators[node] = freeAccelerators;
		return true;
	}

	private void grow() {
		int old = this.leafCount;
		long[] oldCores = this.cores;
		long[] oldMemory = this.memory;
		long[] oldAccelerators = this.accelerators;
		allocate(2 * old);
		System.arraycopy(oldCores, old, this.cores, this.leafCount, old);
		System.arraycopy(oldMemory, old, this.memory, this.leafCount, old);
		System.arraycopy(oldAccelerators, old, this.accelerators, this.leafCount, old);
		for (int node = this.leafCount - 1; node >= 1; node--) {
			updateNode(node);
		}
	}

	private void allocate(int size) {
		this.leafCount = size;
		this.cores = unschedulable(2 * size);
		this.memory = unschedulable(2 * size);
		this.accelerators = unschedulable(2 * size);
	}

	private static long[] unschedulable(int size) {
		long[] values = new long[size];
		Arrays.fill(values, UNSCHEDULABLE);
		return values;
	}

}
