package io.lentilstream.control.peers;

import java.io.IOException;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Is a frame between two control processes.
 *
 * @param kind what the frame says
 * @param callId tells the calls of a connection apart; an answer repeats it
 * @param subject the id or name that the frame is about
 * @param number a number whose meaning depends on the kind
 * @param content bytes whose meaning depends on the kind
 */
public record PeerFrame(Kind kind, long callId, String subject, long number, byte[] content) {

	private static final byte[] NO_CONTENT = {};

	/**
	 * Creates a frame without number and content.
	 * @param kind what the frame says
	 * @param callId tells the calls of a connection apart
	 * @param subject the id or name that the frame is about
	 * @return the frame
	 */
	public static PeerFrame of(Kind kind, long callId, String subject) {
		return new PeerFrame(kind, callId, subject, 0, NO_CONTENT);
	}

	/**
	 * Creates an answer to this frame.
	 * @param answer the kind of the answer
	 * @param value the number of the answer
	 * @return the answer
	 */
	public PeerFrame reply(Kind replyKind, long value) {
		return new PeerFrame(replyKind, this.callId, this.subject, value, NO_CONTENT);
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
			throw new IllegalStateException("a buffer in memory failed", ex);
		}
	}

	static PeerFrame decode(byte[] bytes) throws IOException {
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
			int ordinal = unpacker.unpackInt();
			if (ordinal < 0 || ordinal >= Kind.values().length) {
				throw new IOException("frame of unknown kind " + ordinal);
			}
			return new PeerFrame(Kind.values()[ordinal], unpacker.unpackLong(), unpacker.unpackString(),
					unpacker.unpackLong(), unpacker.readPayload(unpacker.unpackBinaryHeader()));
		}
		catch (MessagePackException ex) {
			throw new IOException("frame cannot be read", ex);
		}
	}

	/**
	 * What a frame says.
	 */
	public enum Kind {

		/** Asks for the state of a job; answered by {@link #STATE}. */
		ASK_STATE,

		/** Asks how many jobs of a queue wait; answered by {@link #PENDING}. */
		ASK_PENDING,

		/** Asks whether the connection and the leader are alive. */
		PING,

		/** Tells of a stored submission; not answered. */
		SUBMITTED,

		/** Tells of a stored cancellation; not answered. */
		CANCELLED,

		/** The number is that of the job's state, or negative if it is not known. */
		STATE,

		/** The number is that of the waiting jobs. */
		PENDING,

		/** Answers a ping; the number is 0 if the lease of the leader may have ended. */
		PONG,

		/** The process does not lead; answers any question. */
		NOT_LEADING

	}

}
