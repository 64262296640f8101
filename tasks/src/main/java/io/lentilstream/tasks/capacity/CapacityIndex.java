package io.lentilstream.tasks.capacity;

import java.util.Arrays;

import io.lentilstream.model.Resources;

/**
 * Finds the next VM with room in logarithmic time. Each node of a binary tree holds the
 * largest free amount of each resource below it.
 */
final class CapacityIndex {

	private static final long CLOSED = -1;

	private int leaves;

	private long[] cores;

	private long[] memory;

	private long[] accelerators;

	CapacityIndex() {
		allocate(16);
	}

	void set(int worker, Resources free) {
		setLeaf(worker, free.milliCores(), free.memoryMegabytes(), free.accelerators());
	}

	void close(int worker) {
		setLeaf(worker, CLOSED, CLOSED, CLOSED);
	}

	/**
	 * Returns the first worker at or after an index that has room, or -1.
	 * @param from the first index to consider
	 * @param size the size that must fit; not negative
	 * @return the index of the worker, or -1
	 */
	int find(int from, Resources size) {
		if (from >= this.leaves) {
			return -1;
		}
		return find(1, 0, this.leaves, from, size);
	}

	private int find(int node, int low, int high, int from, Resources size) {
		if (high <= from || !fits(node, size)) {
			return -1;
		}
		if (high - low == 1) {
			return low;
		}
		int middle = (low + high) >>> 1;
		int left = find(2 * node, low, middle, from, size);
		return (left >= 0) ? left : find(2 * node + 1, middle, high, from, size);
	}

	private boolean fits(int node, Resources size) {
		return this.cores[node] >= size.milliCores() && this.memory[node] >= size.memoryMegabytes()
				&& this.accelerators[node] >= size.accelerators();
	}

	private void setLeaf(int worker, long freeCores, long freeMemory, long freeAccelerators) {
		while (worker >= this.leaves) {
			grow();
		}
		int node = this.leaves + worker;
		this.cores[node] = freeCores;
		this.memory[node] = freeMemory;
		this.accelerators[node] = freeAccelerators;
		for (node >>= 1; node >= 1; node >>= 1) {
			if (!refresh(node)) {
				return;
			}
		}
	}

	private boolean refresh(int node) {
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
		int old = this.leaves;
		long[] oldCores = this.cores;
		long[] oldMemory = this.memory;
		long[] oldAccelerators = this.accelerators;
		allocate(2 * old);
		System.arraycopy(oldCores, old, this.cores, this.leaves, old);
		System.arraycopy(oldMemory, old, this.memory, this.leaves, old);
		System.arraycopy(oldAccelerators, old, this.accelerators, this.leaves, old);
		for (int node = this.leaves - 1; node >= 1; node--) {
			refresh(node);
		}
	}

	private void allocate(int size) {
		this.leaves = size;
		this.cores = closed(2 * size);
		this.memory = closed(2 * size);
		this.accelerators = closed(2 * size);
	}

	private static long[] closed(int size) {
		long[] values = new long[size];
		Arrays.fill(values, CLOSED);
		return values;
	}

}
