package io.lentilstream.wire;

import java.util.Arrays;
import java.util.Map;
import java.util.Optional;

import io.lentilstream.model.AvailabilityZoneId;
import io.lentilstream.model.Epoch;
import io.lentilstream.model.IdempotencyKey;
import io.lentilstream.model.KindName;
import io.lentilstream.model.NotRunReason;
import io.lentilstream.model.RequestId;
import io.lentilstream.model.RequestOutcome;
import io.lentilstream.model.Revision;
import io.lentilstream.model.ServiceName;
import io.lentilstream.model.ShardId;
import io.lentilstream.model.TeamId;
import io.lentilstream.model.Urgency;
import io.lentilstream.model.VmId;

/**
 * Is a message between entry VMs.
 */
public sealed interface PeerMessage {

	/**
	 * Returns the type of the message.
	 * @return the type
	 */
	MessageKind kind();

	/**
	 * Opens a link.
	 *
	 * @param vm the VM that connects
	 * @param zone its availability zone
	 * @param incarnation the run of its process
	 * @param nonce random bytes of this link
	 */
	record Hello(VmId vm, AvailabilityZoneId zone, long incarnation, Bytes nonce) implements PeerMessage {

		@Override
		public MessageKind kind() {
			return MessageKind.HELLO;
		}

	}

	/**
	 * Answers a hello.
	 *
	 * @param vm the VM that accepts
	 * @param zone its availability zone
	 * @param incarnation the run of its process
	 * @param nonce random bytes of this link
	 * @param proof the HMAC over both sides and both nonces in the accepting role
	 */
	record Challenge(VmId vm, AvailabilityZoneId zone, long incarnation, Bytes nonce,
			Bytes proof) implements PeerMessage {

		@Override
		public MessageKind kind() {
			return MessageKind.CHALLENGE;
		}

	}

	/**
	 * Ends the handshake.
	 *
	 * @param proof the HMAC over both sides and both nonces in the connecting role
	 */
	record Proof(Bytes proof) implements PeerMessage {

		@Override
		public MessageKind kind() {
			return MessageKind.PROOF;
		}

	}

	/**
	 * Is a sign of life.
	 *
	 * @param incarnation the run of the sender's process
	 * @param sequence the number of this heartbeat to this peer, from 1
	 * @param lastSeen the highest sequence that the sender got from the receiver; shows
	 * the receiver whether its own heartbeats arrive
	 * @param leaving whether the sender shuts down
	 * @param settingsReady whether the sender has a complete set of settings
	 * @param digest the settings in force at the sender
	 * @param freeSlots free slots per service; holds only the services that changed or
	 * are due for a refresh, and is empty between zones
	 * @param shards the shards that the sender owns, with their epochs
	 */
	record Heartbeat(long incarnation, long sequence, long lastSeen, boolean leaving, boolean settingsReady,
			SettingsDigest digest, Map<ServiceRef, Integer> freeSlots,
			Map<ShardId, Epoch> shards) implements PeerMessage {

		public Heartbeat {
			freeSlots = Map.copyOf(freeSlots);
			shards = Map.copyOf(shards);
		}

		@Override
		public MessageKind kind() {
			return MessageKind.HEARTBEAT;
		}

	}

	/**
	 * Carries one settings document.
	 *
	 * @param path the path of the document
	 * @param revision the revision of the document
	 * @param content the bytes that replicas keep
	 */
	record Document(String path, Revision revision, Bytes content) implements PeerMessage {

		@Override
		public MessageKind kind() {
			return MessageKind.DOCUMENT;
		}

	}

	/**
	 * Tells which revisions the sender holds and asks for higher ones.
	 *
	 * @param buckets the mask of the buckets in which the sender wants every document of
	 * which the receiver has a higher revision; 0 asks for nothing
	 * @param held revisions that the sender holds; all of the asked buckets
	 * @param complete whether {@code held} lists every document of a sender that has a
	 * complete set
	 */
	record FetchDocuments(int buckets, Map<String, Long> held, boolean complete) implements PeerMessage {

		public FetchDocuments {
			held = Map.copyOf(held);
		}

		@Override
		public MessageKind kind() {
			return MessageKind.FETCH_DOCUMENTS;
		}

	}

	/**
	 * Hands a request to the owner of its shard.
	 *
	 * @param id the id of the request
	 * @param team the team
	 * @param service the service of an urgent request
	 * @param workKind the kind of a deferrable request
	 * @param key the idempotency key, if any
	 * @param urgency the urgency
	 * @param repeatable whether the request may run more than once
	 * @param remainingMillis milliseconds left until the deadline when the frame was made
	 * @param method the HTTP method
	 * @param target the path and query below the service
	 * @param headers headers to pass on
	 * @param body the whole body
	 */
	record ForwardRequest(RequestId id, TeamId team, Optional<ServiceName> service, Optional<KindName> workKind,
			Optional<IdempotencyKey> key, Urgency urgency, boolean repeatable, long remainingMillis, String method,
			String target, Map<String, String> headers, Bytes body) implements PeerMessage {

		public ForwardRequest {
			headers = Map.copyOf(headers);
		}

		@Override
		public MessageKind kind() {
			return MessageKind.FORWARD_REQUEST;
		}

	}

	/**
	 * Carries the outcome of a forwarded request that was not refused.
	 *
	 * @param id the id of the request
	 * @param outcome answered, accepted or unknown
	 */
	record ForwardAnswer(RequestId id, RequestOutcome outcome) implements PeerMessage {

		public ForwardAnswer {
			if (outcome instanceof RequestOutcome.NotRun) {
				throw new IllegalArgumentException("a refusal is no answer");
			}
		}

		@Override
		public MessageKind kind() {
			return MessageKind.FORWARD_ANSWER;
		}

	}

	/**
	 * Tells that a forwarded request was not run.
	 *
	 * @param id the id of the request
	 * @param reason why it was refused
	 * @param retryAfterMillis milliseconds after which a new try makes sense; 0 if none
	 */
	record ForwardRefusal(RequestId id, NotRunReason reason, long retryAfterMillis) implements PeerMessage {

		@Override
		public MessageKind kind() {
			return MessageKind.FORWARD_REFUSAL;
		}

	}

	/**
	 * Asks whether the receiver stopped acting on a shard.
	 *
	 * @param shard the shard
	 * @param epoch the epoch of the new owner
	 */
	record ReleaseQuery(ShardId shard, Epoch epoch) implements PeerMessage {

		@Override
		public MessageKind kind() {
			return MessageKind.RELEASE_QUERY;
		}

	}

	/**
	 * Confirms that the sender stopped acting on a shard below an epoch.
	 *
	 * @param shard the shard
	 * @param epoch the epoch of the new owner
	 */
	record ReleaseConfirmed(ShardId shard, Epoch epoch) implements PeerMessage {

		@Override
		public MessageKind kind() {
			return MessageKind.RELEASE_CONFIRMED;
		}

	}

	/**
	 * Announces that the sender shuts down.
	 *
	 * @param incarnation the run of the sender's process
	 */
	record Goodbye(long incarnation) implements PeerMessage {

		@Override
		public MessageKind kind() {
			return MessageKind.GOODBYE;
		}

	}

	/**
	 * Holds bytes that are compared by content and shown only by length, so that neither
	 * bodies nor proofs reach logs.
	 *
	 * @param array the bytes, which nobody changes
	 */
	record Bytes(byte[] array) {

		/**
		 * No bytes.
		 */
		public static final Bytes EMPTY = new Bytes(new byte[0]);

		@Override
		public boolean equals(Object other) {
			return other instanceof Bytes that && Arrays.equals(this.array, that.array);
		}

		@Override
		public int hashCode() {
			return Arrays.hashCode(this.array);
		}

		@Override
		public String toString() {
			return this.array.length + " bytes";
		}

	}

}
