package io.lentilstream.tasks.scheduling;

import io.lentilstream.model.VmId;

/**
 * Computes the 8-byte index under which the log names a worker: a 64-bit hash of the id
 * of the VM. A hash needs no table in the log; two of 16,000 VMs have the same one with a
 * probability below 1 in 10^11, and then one of them gets no work.
 */
final class WorkerHash {

	private static final long FNV_OFFSET = 0xcbf29ce484222325L;

	private static final long FNV_PRIME = 0x100000001b3L;

	private WorkerHash() {
	}

	static long of(VmId vm) {
		long hash = FNV_OFFSET;
		String text = vm.value();
		for (int i = 0; i < text.length(); i++) {
			hash = (hash ^ text.charAt(i)) * FNV_PRIME;
		}
		// FNV alone mixes the last characters badly into the high bits.
		hash = (hash ^ (hash >>> 32)) * 0x9e3779b97f4a7c15L;
		return hash ^ (hash >>> 29);
	}

}
