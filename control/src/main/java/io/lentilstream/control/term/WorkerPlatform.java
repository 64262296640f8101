package io.lentilstream.control.term;

import java.util.Optional;
import java.util.function.ToLongFunction;

import io.lentilstream.control.store.StoredItem;
import io.lentilstream.jobs.WorkerCommands;
import io.lentilstream.jobs.WorkerId;
import io.lentilstream.jobs.WorkerListing;

/**
 * The operations of the platform that a leader needs to track VMs and send them commands.
 */
public interface WorkerPlatform {

	/**
	 * Creates a client for commands to VMs.
	 * @param fencingTokens returns the fencing token to send with a command to a VM
	 * @return the client
	 */
	CommandClient commandClient(ToLongFunction<WorkerId> fencingTokens);

	/**
	 * Returns the prefix under which the entries of VMs are stored.
	 * @return the prefix
	 */
	String workerListPrefix();

	/**
	 * Decodes an entry of a VM.
	 * @param item the item
	 * @return the entry, or empty if it is malformed or in an unknown state
	 */
	Optional<WorkerListing> decode(StoredItem item);

	/**
	 * Returns the id of the VM whose entry has the given key.
	 * @param key the key
	 * @return the id
	 */
	String workerIdOf(String key);

	/**
	 * Sends commands to VMs until it is closed.
	 */
	interface CommandClient extends WorkerCommands, AutoCloseable {

		@Override
		void close();

	}

}
