package io.lentilstream.entry.requests;

import java.util.concurrent.atomic.AtomicLong;

import io.lentilstream.model.RequestId;
import io.lentilstream.model.VmId;

/**
 * The generator of request ids. The ids are unique across all entry VMs and restarts,
 * because they contain the VM id and the incarnation.
 */
public final class RequestIds {

	private static final int HEX = 16;

	private final String prefix;

	private final AtomicLong next = new AtomicLong();

	/**
	 * Creates the generator of one process.
	 * @param vm the entry VM
	 * @param incarnation the number that distinguishes this process from earlier ones on
	 * the VM
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
