package io.lentilstream.control.peers;

import java.io.IOException;
import java.util.OptionalLong;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * A frame sent between two control processes.
 *
 * @param kind the kind of the frame
 * @param callId identifies a call on its connection; a reply has that of its request
 * @param subject the id or name that the frame is about
 * @param number a number whose meaning depends on the kind
 * @param content a payload whose meaning depends on the kind
 */
public record PeerFrame(Kind kind, long callId, String subject, long number, byte[] content) {

	/** Number of a ping whose sender could lead. Earlier versions send 0. */
	public static final long CAN_LEAD = 1;

	/** Number of a ping whose sender could not lead. */
	public static final long CANNOT_LEAD = 2;

	private static final byte[] NO_CONTENT = {};

	/**
	 * Creates a frame without a number and content.
	 * @param kind the kind of the frame
	 * @param callId identifies a call on its connection
	 * @param subject the id or name that the frame is about
	 * @return the frame
	 */
	public static PeerFrame of(Kind kind, long callId, String subject) {
		return new PeerFrame(kind, callId, subject, 0, NO_CONTENT);
	}

	/**
	 * Creates a reply to this frame.
	 * @param replyKind the kind of the reply
	 * @param value the number of the reply
	 * @return the reply
	 */
	public PeerFrame reply(Kind replyKind, long value) {
		return new PeerFrame(replyKind, this.callId, this.subject, value, NO_CONTENT);
	}

	/**
	 * Creates a reply to this frame whose content is a number as well.
	 * @param replyKind the kind of the reply
	 * @param value the number of the reply
	 * @param contentValue the number in the content
	 * @return the reply
	 */
	public PeerFrame reply(Kind replyKind, long value, long contentValue) {
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			packer.packLong(contentValue);
			return new PeerFrame(replyKind, this.callId, this.subject, value, packer.toByteArray());
		}
		catch (IOException ex) {
			throw new IllegalStateException("could not write to an in-memory buffer", ex);
		}
	}

	/**
	 * Returns the number in the content.
	 * @return the number, or empty if the content is empty or something else
	 */
	public OptionalLong contentValue() {
		if (this.content.length == 0) {
			return OptionalLong.empty();
		}
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(this.content)) {
			return OptionalLong.of(unpacker.unpackLong());
		}
		catch (IOException | MessagePackException ex) {
			return OptionalLong.empty();
		}
	}

	PeerFrame withNumber(long value) {
		return new PeerFrame(this.kind, this.callId, this.subject, value, this.content);
	}

	byte[] encode() {
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			packer.packInt(this.kind.ordinal());
			packer.packLong(this.callId);
			packer.packString(this.subject);
			packer.packLong(this.number);
			packer.packBinaryHeader(this.content.length);
			packer.writePayload(this.content);
			return packer.toByteArray();
		}
		catch (IOException ex) {
			throw new IllegalStateException("could not write to an in-memory buffer", ex);
		}
	}

	static PeerFrame decode(byte[] bytes) throws IOException {
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
			int ordinal = unpacker.unpackInt();
			if (ordinal < 0 || ordinal >= Kind.values().length) {
				throw new IOException("unknown frame kind " + ordinal);
			}
			return new PeerFrame(Kind.values()[ordinal], unpacker.unpackLong(), unpacker.unpackString(),
					unpacker.unpackLong(), content(unpacker, bytes.length));
		}
		catch (MessagePackException ex) {
			throw new IOException("frame is malformed", ex);
		}
	}

	// The unpacker would reserve memory for any length.
	private static byte[] content(MessageUnpacker unpacker, int frameLength) throws IOException {
		int length = unpacker.unpackBinaryHeader();
		if (length > frameLength - unpacker.getTotalReadBytes()) {
			throw new IOException("content of " + length + " bytes is longer than its frame");
		}
		return unpacker.readPayload(length);
	}

	/**
	 * The kinds of frames. They are sent as ordinals.
	 */
	public enum Kind {

		/** Requests the state of a job; the reply is {@link #STATE}. */
		ASK_STATE,

		/**
		 * Requests the number of queued jobs of a queue; the reply is {@link #PENDING}.
		 */
		ASK_PENDING,

		/**
		 * Checks that the connection and the leader are alive; the reply is
		 * {@link #PONG}. Its number tells whether the sender could lead.
		 */
		PING,

		/** Announces a stored submission; has no reply. */
		SUBMITTED,

		/**
		 * Announces a stored cancellation; the reply is {@link #CANCELLATION_STATUS}.
		 * Processes of earlier versions expect no reply and use the call id 0.
		 */
		CANCELLED,

		/**
		 * Reply whose number is the ordinal of the job's state, negative if unknown.
		 */
		STATE,

		/** Reply whose number is the count of queued jobs. */
		PENDING,

		/**
		 * Reply to a ping; its number is 0 if the lease of the leader may have expired.
		 * Its content is the memory that the sender of the ping may accept jobs for, as a
		 * MessagePack integer; leaders of earlier versions send none.
		 */
		PONG,

		/**
		 * Reply to any request if the process is not the leader. A leader that has ended
		 * its lease sends it with the call id 0 to its successor, unasked.
		 */
		NOT_LEADING,

		/** Reply whose number is 1 if the tasks of the cancelled job stop in time. */
		CANCELLATION_STATUS,

		/**
		 * Requests room for a job of which the number is the cost in bytes; the reply is
		 * {@link #RESERVED}. Only sent to leaders whose pongs have a content.
		 */
		RESERVE,

		/** Reply whose number is 1 if the job may be stored. */
		RESERVED;

		/**
		 * Tells whether the subject of a request of this kind is the id of a job.
		 * @return {@code false} if it is something else
		 */
		public boolean aboutJob() {
			return this == ASK_STATE || this == SUBMITTED || this == CANCELLED || this == RESERVE;
		}

	}

}
