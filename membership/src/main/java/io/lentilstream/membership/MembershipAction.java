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
	 * An instruction to connect to a peer and to reconnect whenever the link is lost.
	 *
	 * @param vm the VM that must prove its identity at this address
	 * @param address host and port
	 */
	record Connect(VmId vm, String address) implements MembershipAction {
	}

	/**
	 * An instruction to close the link to a peer and not to reconnect.
	 *
	 * @param vm the VM
	 */
	record Disconnect(VmId vm) implements MembershipAction {
	}

	/**
	 * An instruction to send a message to a peer. The message may be dropped if the send
	 * queue is full.
	 *
	 * @param to the receiver
	 * @param message the message
	 */
	record Send(VmId to, PeerMessage message) implements MembershipAction {
	}

	/**
	 * A change of the state of a peer.
	 *
	 * @param vm the VM
	 * @param from the previous state
	 * @param to the new state
	 */
	record PeerStateChanged(VmId vm, PeerState from, PeerState to) implements MembershipAction {
	}

	/**
	 * A restart of the process of a peer. Messages to the earlier one may be lost.
	 *
	 * @param vm the VM
	 * @param incarnation the incarnation of the new process
	 */
	record PeerRestarted(VmId vm, long incarnation) implements MembershipAction {
	}

	/**
	 * An instruction to list a prefix of the store. Its outcome is passed to
	 * {@link SettingsReplica#listCompleted} together with this action.
	 *
	 * @param callId the id of the call
	 * @param prefix the prefix
	 */
	record ListStore(long callId, StoreKey prefix) implements MembershipAction {
	}

	/**
	 * An instruction to watch a prefix of the store. Its outcome is passed to
	 * {@link SettingsReplica#watchCompleted} together with this action.
	 *
	 * @param callId the id of the call
	 * @param prefix the prefix
	 * @param afterRevision the store revision to continue from
	 * @param maxWait the maximum time to wait for a change
	 */
	record WatchStore(long callId, StoreKey prefix, long afterRevision, Duration maxWait) implements MembershipAction {
	}

	/**
	 * A document that came into force as a whole.
	 *
	 * @param document the document
	 */
	record DocumentApplied(SettingsDocument document) implements MembershipAction {
	}

	/**
	 * A document that could not be parsed. The previous revision stays in force.
	 *
	 * @param key the key of the document
	 * @param origin {@code store} or the id of the VM that sent it
	 */
	record DocumentRefused(StoreKey key, String origin) implements MembershipAction {
	}

	/**
	 * The first time at which a complete set of settings is in force.
	 *
	 * @param fromStore whether the set came from the store and not from peers
	 */
	record SettingsReady(boolean fromStore) implements MembershipAction {
	}

}
