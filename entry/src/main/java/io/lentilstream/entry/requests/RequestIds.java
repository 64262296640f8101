package io.lentilstream.entry.requests;

import java.util.concurrent.atomic.AtomicLong;

import io.lentilstream.model.RequestId;
import io.lentilstream.model.VmId;

/**
 * Numbers the requests that arrive at this entry daemon. The ids are unique over all
 * entry VMs and restarts, since they hold the VM and its incarnation.
 */
public final class RequestIds {

	private static final int HEX = 16;

	private final String prefix;

	private final AtomicLong next = new AtomicLong();

	/**
	 * Creates the numbering of one process.
	 * @param vm the entry VM
	 * @param incarnation the number that tells this run of the daemon from earlier ones
	 */
	public RequestIds(VmId vm, long incarnation) {
		this.prefix = vm.value() + "-" + Long.toString(incarnation, HEX) + "-";
	}

	/**
	 * Returns a new id.
	 * @return the id
	 */
	public RequestId next() {
		return new RequestId(this.prefix + Long.toString(this.next.incrementAndGet(), HEX));
	}

}
