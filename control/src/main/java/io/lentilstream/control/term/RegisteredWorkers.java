package io.lentilstream.control.term;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

import io.lentilstream.control.IpAddressParser;
import io.lentilstream.jobs.WorkerId;
import io.lentilstream.jobs.WorkerListing;
import io.lentilstream.model.Resources;
import io.lentilstream.model.ServiceName;

/**
 * The stored VMs to which a leader may have sent commands. Earlier versions store only
 * the VMs.
 *
 * @param workers the VMs, without zones, labels and capacities
 * @param expiringLeases how long the lease of each VM that receives no more commands may
 * last, in milliseconds
 * @param term the number of the term in which the leases were stored
 */
record RegisteredWorkers(List<WorkerListing> workers, Map<WorkerId, Long> expiringLeases, int term) {

	/** The number of the term if there are no stored leases. */
	static final int NO_TERM = -1;

	static final RegisteredWorkers NONE = new RegisteredWorkers(List.of(), Map.of(), NO_TERM);

	byte[] encode() {
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			packer.packArrayHeader(this.workers.size());
			for (WorkerListing worker : this.workers) {
				packer.packString(worker.id().value());
				packer.packLong(worker.incarnationStartMillis());
				packer.packString(worker.service().value());
				packer.packString(worker.address().getAddress().getHostAddress());
				packer.packInt(worker.address().getPort());
			}
			packer.packMapHeader(this.expiringLeases.size());
			for (Map.Entry<WorkerId, Long> lease : this.expiringLeases.entrySet()) {
				packer.packString(lease.getKey().value());
				packer.packLong(lease.getValue());
			}
			packer.packInt(this.term);
			return packer.toByteArray();
		}
		catch (IOException ex) {
			throw new IllegalStateException("could not write to an in-memory buffer", ex);
		}
	}

	/**
	 * Decodes a stored value, as far as it is readable.
	 * @param bytes the value
	 * @param onUnreadable called if the rest cannot be read
	 * @return the readable part
	 */
	static RegisteredWorkers decode(byte[] bytes, Consumer<Exception> onUnreadable) {
		List<WorkerListing> workers = new ArrayList<>();
		Map<WorkerId, Long> expiringLeases = new HashMap<>();
		int term = NO_TERM;
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
			int count = unpacker.unpackArrayHeader();
			for (int i = 0; i < count; i++) {
				workers.add(decodeWorker(unpacker));
			}
			int leases = unpacker.hasNext() ? unpacker.unpackMapHeader() : 0;
			for (int i = 0; i < leases; i++) {
				expiringLeases.put(new WorkerId(unpacker.unpackString()), unpacker.unpackLong());
			}
			term = unpacker.hasNext() ? unpacker.unpackInt() : NO_TERM;
		}
		catch (IOException | MessagePackException ex) {
			onUnreadable.accept(ex);
		}
		return new RegisteredWorkers(workers, expiringLeases, term);
	}

	private static WorkerListing decodeWorker(MessageUnpacker unpacker) throws IOException {
		WorkerId id = new WorkerId(unpacker.unpackString());
		long incarnationStartMillis = unpacker.unpackLong();
		ServiceName service = new ServiceName(unpacker.unpackString());
		String host = unpacker.unpackString();
		// Earlier versions stored addresses with an interface of the leader's machine.
		InetSocketAddress address = IpAddressParser.parseWithoutScope(host, unpacker.unpackInt())
			.orElseThrow(() -> new IOException("address of VM " + id + " is not an IP address: " + host));
		return new WorkerListing(id, incarnationStartMillis, service, address, "", false, "", Resources.NONE, Set.of());
	}

}
