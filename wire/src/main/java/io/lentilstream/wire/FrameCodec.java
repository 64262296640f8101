package io.lentilstream.wire;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.Optional;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;

import io.lentilstream.model.Epoch;
import io.lentilstream.model.RequestId;
import io.lentilstream.model.RequestOutcome;
import io.lentilstream.model.ShardId;
import io.lentilstream.wire.PeerMessage.Bytes;

/**
 * Encodes and decodes frames. A frame is a 4-byte big-endian length and a MessagePack
 * array of version, type, correlation id, trace context and payload.
 */
public final class FrameCodec {

	/**
	 * Size of the length field, in bytes.
	 */
	public static final int LENGTH_BYTES = 4;

	private static final int ENVELOPE_FIELDS = 5;

	private static final int ANSWERED = 1;

	private static final int ACCEPTED = 2;

	private static final int UNKNOWN = 3;

	private final int maxFrameBytes;

	/**
	 * Creates a codec.
	 * @param maxFrameBytes largest content of a frame, in bytes
	 */
	public FrameCodec(int maxFrameBytes) {
		this.maxFrameBytes = maxFrameBytes;
	}

	/**
	 * Encodes a frame with its length field.
	 * @param frame the frame
	 * @return the bytes, or that the frame is too large
	 */
	public EncodeOutcome encode(PeerFrame frame) {
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			packer.packArrayHeader(ENVELOPE_FIELDS);
			packer.packInt(WireDefaults.VERSION);
			packer.packInt(frame.message().kind().number());
			packer.packString(frame.correlationId());
			packer.packString(frame.traceparent());
			packPayload(packer, frame.message());
			byte[] content = packer.toByteArray();
			if (content.length > this.maxFrameBytes) {
				return new EncodeOutcome.TooLarge(content.length, this.maxFrameBytes);
			}
			ByteBuffer bytes = ByteBuffer.allocate(LENGTH_BYTES + content.length);
			bytes.putInt(content.length).put(content);
			return new EncodeOutcome.Encoded(bytes.array());
		}
		catch (IOException ex) {
			throw new IllegalStateException("packing into memory failed", ex);
		}
	}

	/**
	 * Decodes the content of one frame, without its length field.
	 * @param content the content
	 * @return the frame, or why there is none
	 */
	public DecodeOutcome decode(byte[] content) {
		try (PayloadReader reader = new PayloadReader(content)) {
			if (reader.arraySize() != ENVELOPE_FIELDS) {
				return new DecodeOutcome.Malformed("envelope with wrong number of fields");
			}
			int version = reader.intValue();
			if (version != WireDefaults.VERSION) {
				return new DecodeOutcome.WrongVersion(version);
			}
			int type = reader.intValue();
			MessageKind kind = kindOf(type);
			if (kind == null) {
				return new DecodeOutcome.UnknownType(type);
			}
			String correlationId = reader.text();
			String traceparent = reader.text();
			PeerMessage message = readPayload(reader, kind);
			if (!reader.isAtEnd()) {
				return new DecodeOutcome.Malformed("bytes after the payload");
			}
			return new DecodeOutcome.Decoded(new PeerFrame(correlationId, traceparent, message));
		}
		catch (IOException | MessagePackException | IllegalArgumentException ex) {
			// The message of the exception may hold content of the frame.
			return new DecodeOutcome.Malformed(ex.getClass().getSimpleName());
		}
	}

	private static MessageKind kindOf(int number) {
		for (MessageKind kind : MessageKind.values()) {
			if (kind.number() == number) {
				return kind;
			}
		}
		return null;
	}

	private static void packPayload(MessageBufferPacker packer, PeerMessage message) throws IOException {
		PayloadWriter writer = new PayloadWriter(packer);
		if (message instanceof PeerMessage.Hello hello) {
			writer.fields(4).text(hello.vm()).text(hello.zone()).number(hello.incarnation()).bytes(hello.nonce());
		}
		else if (message instanceof PeerMessage.Challenge challenge) {
			writer.fields(5).text(challenge.vm()).text(challenge.zone()).number(challenge.incarnation());
			writer.bytes(challenge.nonce()).bytes(challenge.proof());
		}
		else if (message instanceof PeerMessage.Proof proof) {
			writer.fields(1).bytes(proof.proof());
		}
		else if (message instanceof PeerMessage.Heartbeat heartbeat) {
			packHeartbeat(writer, heartbeat);
		}
		else if (message instanceof PeerMessage.Document document) {
			packDocument(writer, document);
		}
		else if (message instanceof PeerMessage.FetchDocuments fetch) {
			writer.fields(3).number(fetch.buckets()).map(fetch.held().size());
			for (Map.Entry<String, Long> entry : fetch.held().entrySet()) {
				writer.text(entry.getKey()).number(entry.getValue());
			}
			writer.flag(fetch.complete());
		}
		else if (message instanceof PeerMessage.ForwardRequest request) {
			packForwardRequest(writer, request);
		}
		else if (message instanceof PeerMessage.ForwardAnswer answer) {
			packForwardAnswer(writer, answer);
		}
		else if (message instanceof PeerMessage.ForwardRefusal refusal) {
			writer.fields(3).text(refusal.id()).text(refusal.reason().name()).number(refusal.retryAfterMillis());
		}
		else if (message instanceof PeerMessage.ReleaseQuery query) {
			writer.fields(3).shard(query.shard()).number(query.epoch().value());
		}
		else if (message instanceof PeerMessage.ReleaseConfirmed confirmed) {
			writer.fields(3).shard(confirmed.shard()).number(confirmed.epoch().value());
		}
		else if (message instanceof PeerMessage.Goodbye goodbye) {
			writer.fields(1).number(goodbye.incarnation());
		}
	}

	private static void packDocument(PayloadWriter writer, PeerMessage.Document document) throws IOException {
		Bytes content = document.content();
		Bytes compressed = (content.array().length >= Compression.MIN_BYTES)
				? new Bytes(Compression.deflate(content.array())) : content;
		boolean isSmaller = compressed.array().length < content.array().length;
		writer.fields(4).text(document.path()).number(document.revision().value()).flag(isSmaller);
		writer.bytes(isSmaller ? compressed : content);
	}

	private static void packHeartbeat(PayloadWriter writer, PeerMessage.Heartbeat heartbeat) throws IOException {
		writer.fields(8).number(heartbeat.incarnation()).number(heartbeat.sequence()).number(heartbeat.lastSeen());
		writer.flag(heartbeat.leaving()).flag(heartbeat.settingsReady()).digest(heartbeat.digest());
		writer.map(heartbeat.freeSlots().size());
		for (Map.Entry<ServiceRef, Integer> entry : heartbeat.freeSlots().entrySet()) {
			writer.text(entry.getKey()).number(entry.getValue());
		}
		writer.map(heartbeat.shards().size());
		for (Map.Entry<ShardId, Epoch> entry : heartbeat.shards().entrySet()) {
			writer.text(entry.getKey()).number(entry.getValue().value());
		}
	}

	private static void packForwardRequest(PayloadWriter writer, PeerMessage.ForwardRequest request)
			throws IOException {
		writer.fields(12).text(request.id()).text(request.team());
		writer.text(request.service()).text(request.workKind()).text(request.key());
		writer.text(request.urgency().name()).flag(request.repeatable()).number(request.remainingMillis());
		writer.text(request.method()).text(request.target()).map(request.headers().size());
		for (Map.Entry<String, String> entry : request.headers().entrySet()) {
			writer.text(entry.getKey()).text(entry.getValue());
		}
		writer.bytes(request.body());
	}

	private static void packForwardAnswer(PayloadWriter writer, PeerMessage.ForwardAnswer answer) throws IOException {
		if (answer.outcome() instanceof RequestOutcome.Answered answered) {
			writer.fields(5).text(answer.id()).number(ANSWERED).number(answered.status());
			writer.text(answered.contentType()).bytes(new Bytes(answered.body()));
		}
		else if (answer.outcome() instanceof RequestOutcome.Accepted accepted) {
			writer.fields(3).text(answer.id()).number(ACCEPTED).text(accepted.key());
		}
		else if (answer.outcome() instanceof RequestOutcome.Unknown unknown) {
			writer.fields(3).text(answer.id()).number(UNKNOWN).text(unknown.id());
		}
	}

	private static PeerMessage readPayload(PayloadReader reader, MessageKind kind) throws IOException {
		reader.arraySize();
		return switch (kind) {
			case HELLO -> new PeerMessage.Hello(reader.vm(), reader.zone(), reader.number(), reader.bytes());
			case CHALLENGE ->
				new PeerMessage.Challenge(reader.vm(), reader.zone(), reader.number(), reader.bytes(), reader.bytes());
			case PROOF -> new PeerMessage.Proof(reader.bytes());
			case HEARTBEAT -> new PeerMessage.Heartbeat(reader.number(), reader.number(), reader.number(),
					reader.flag(), reader.flag(), reader.digest(), reader.freeSlots(), reader.shards());
			case DOCUMENT -> new PeerMessage.Document(reader.text(), reader.revision(), readContent(reader));
			case FETCH_DOCUMENTS ->
				new PeerMessage.FetchDocuments(reader.intValue(), reader.revisions(), reader.flag());
			case FORWARD_REQUEST -> reader.forwardRequest();
			case FORWARD_ANSWER -> readForwardAnswer(reader);
			case FORWARD_REFUSAL ->
				new PeerMessage.ForwardRefusal(reader.requestId(), reader.notRunReason(), reader.number());
			case RELEASE_QUERY -> new PeerMessage.ReleaseQuery(reader.shard(), reader.epoch());
			case RELEASE_CONFIRMED -> new PeerMessage.ReleaseConfirmed(reader.shard(), reader.epoch());
			case GOODBYE -> new PeerMessage.Goodbye(reader.number());
		};
	}

	private static Bytes readContent(PayloadReader reader) throws IOException {
		boolean isCompressed = reader.flag();
		Bytes bytes = reader.bytes();
		return isCompressed ? new Bytes(Compression.inflate(bytes.array(), WireDefaults.MAX_FRAME_BYTES)) : bytes;
	}

	private static PeerMessage readForwardAnswer(PayloadReader reader) throws IOException {
		RequestId id = reader.requestId();
		int form = reader.intValue();
		RequestOutcome outcome = switch (form) {
			case ANSWERED -> new RequestOutcome.Answered(reader.intValue(), reader.text(), reader.bytes().array());
			case ACCEPTED -> new RequestOutcome.Accepted(reader.idempotencyKey());
			case UNKNOWN -> new RequestOutcome.Unknown(reader.requestId());
			default -> throw new IllegalArgumentException("unknown form of an answer");
		};
		return new PeerMessage.ForwardAnswer(id, outcome);
	}

	static Optional<String> optional(String text) {
		return text.isEmpty() ? Optional.empty() : Optional.of(text);
	}

}
