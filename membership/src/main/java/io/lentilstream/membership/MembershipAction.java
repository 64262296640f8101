package io.lentilstream.membership;

import java.time.Duration;

import io.lentilstream.clients.StoreKey;
import io.lentilstream.model.VmId;
import io.lentilstream.wire.PeerMessage;

/**
 * An action that {@link MembershipView} or {@link SettingsReplica} requests, or an event
 * that it reports.
 */
public sealed interface MembershipAction {

	/**
	 * Keep a link to a peer.
	 *
	 * @param vm the VM that must answer
	 * @param address host and port
	 */
	record Connect(VmId vm, String address) implements MembershipAction {
	}

	/**
	 * Close the link to a peer and stop connecting.
	 *
	 * @param vm the VM
	 */
	record Disconnect(VmId vm) implements MembershipAction {
	}

	/**
	 * Send a message to a peer; a message that cannot be queued may be dropped.
	 *
	 * @param to the receiver
	 * @param message the message
	 */
	record Send(VmId to, PeerMessage message) implements MembershipAction {
	}

	/**
	 * A peer changed its state.
	 *
	 * @param vm the VM
	 * @param from the earlier state
	 * @param to the new state
	 */
	record PeerStateChanged(VmId vm, PeerState from, PeerState to) implements MembershipAction {
	}

	/**
	 * A peer runs a new process; what was sent to the earlier one may be lost.
	 *
	 * @param vm the VM
	 * @param incarnation the run of the new process
	 */
	record PeerRestarted(VmId vm, long incarnation) implements MembershipAction {
	}

	/**
	 * List a prefix of the store and hand the outcome back with this action.
	 *
	 * @param call the number of the call
	 * @param prefix the prefix
	 */
	record ListStore(long call, StoreKey prefix) implements MembershipAction {
	}

	/**
	 * Watch a prefix of the store and hand the outcome back with this action.
	 *
	 * @param call the number of the call
	 * @param prefix the prefix
	 * @param afterRevision the store revision to continue from
	 * @param maxWait the longest wait
	 */
	record WatchStore(long call, StoreKey prefix, long afterRevision, Duration maxWait) implements MembershipAction {
	}

	/**
	 * A document is in force from now on, as a whole.
	 *
	 * @param document the document
	 */
	record DocumentApplied(SettingsDocument document) implements MembershipAction {
	}

	/**
	 * A document could not be read; the earlier one stays in force.
	 *
	 * @param key the key of the document
	 * @param origin the store or the VM that sent it
	 */
	record DocumentRefused(StoreKey key, String origin) implements MembershipAction {
	}

	/**
	 * A complete set of settings is in force for the first time.
	 *
	 * @param fromStore whether the set came from the store and not from peers
	 */
	record SettingsReady(boolean fromStore) implements MembershipAction {
	}

}
