package io.lentilstream.tasks.scheduling;

import io.lentilstream.model.VmId;

/**
 * The hash by which the log names a worker: 64 bits computed from the id of its VM. A
 * hash needs no table in the log. Two of 16,000 VMs have the same hash with a probability
 * below 1 in 10^11; in that case one of them gets no work.
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
		// FNV alone mixes the last characters poorly into the high bits.
		hash = (hash ^ (hash >>> 32)) * 0x9e3779b97f4a7c15L;
		return hash ^ (hash >>> 29);
	}

}
