package io.lentilstream.control.term;

import java.util.Optional;

import io.lentilstream.control.store.StoredItem;
import io.lentilstream.jobs.WorkerCommands;
import io.lentilstream.jobs.WorkerListing;

/**
 * Is what a leader needs of the platform to follow VMs and give them orders.
 */
public interface WorkerPlatform {

	/**
	 * Opens connections for orders.
	 * @param fencingToken the fencing token of the orders
	 * @return sends orders
	 */
	CommandClient commandClient(long fencingToken);

	/**
	 * Returns where the entries of VMs are in the store.
	 * @return the prefix of their keys
	 */
	String workerListPrefix();

	/**
	 * Decodes an entry of a VM.
	 * @param item the item
	 * @return the entry, or empty if it names no VM to use
	 */
	Optional<WorkerListing> decode(StoredItem item);

	/**
	 * Returns the id of the VM whose entry has a key.
	 * @param key the key
	 * @return the id
	 */
	String workerIdOf(String key);

	/**
	 * Sends orders until it is closed.
	 */
	interface CommandClient extends WorkerCommands, AutoCloseable {

		@Override
		void close();

	}

}
