package io.lentilstream.wire;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

import io.lentilstream.model.AvailabilityZoneId;
import io.lentilstream.model.Epoch;
import io.lentilstream.model.IdempotencyKey;
import io.lentilstream.model.KindName;
import io.lentilstream.model.NotRunReason;
import io.lentilstream.model.RequestId;
import io.lentilstream.model.Revision;
import io.lentilstream.model.ServiceName;
import io.lentilstream.model.ShardId;
import io.lentilstream.model.TeamId;
import io.lentilstream.model.Urgency;
import io.lentilstream.model.VmId;
import io.lentilstream.wire.PeerMessage.Bytes;

/**
 * Reads the fields of a payload. Sizes are checked against the rest of the frame before
 * anything is allocated, since a frame may claim any size.
 */
final class PayloadReader implements AutoCloseable {

	private final MessageUnpacker unpacker;

	private final int length;

	PayloadReader(byte[] content) {
		this.unpacker = MessagePack.newDefaultUnpacker(content);
		this.length = content.length;
	}

	boolean isAtEnd() {
		return this.unpacker.getTotalReadBytes() == this.length;
	}

	int arraySize() throws IOException {
		return checked(this.unpacker.unpackArrayHeader());
	}

	int intValue() throws IOException {
		return this.unpacker.unpackInt();
	}

	long number() throws IOException {
		return this.unpacker.unpackLong();
	}

	boolean flag() throws IOException {
		return this.unpacker.unpackBoolean();
	}

	String text() throws IOException {
		int size = checked(this.unpacker.unpackRawStringHeader());
		return new String(this.unpacker.readPayload(size), StandardCharsets.UTF_8);
	}

	Bytes bytes() throws IOException {
		int size = checked(this.unpacker.unpackBinaryHeader());
		return new Bytes(this.unpacker.readPayload(size));
	}

	VmId vm() throws IOException {
		return new VmId(text());
	}

	AvailabilityZoneId zone() throws IOException {
		return new AvailabilityZoneId(text());
	}

	RequestId requestId() throws IOException {
		return new RequestId(text());
	}

	IdempotencyKey idempotencyKey() throws IOException {
		return new IdempotencyKey(text());
	}

	Revision revision() throws IOException {
		return new Revision(number());
	}

	Epoch epoch() throws IOException {
		return new Epoch(number());
	}

	NotRunReason notRunReason() throws IOException {
		return NotRunReason.valueOf(text());
	}

	ShardId shard() throws IOException {
		return new ShardId(text(), intValue());
	}

	SettingsDigest digest() throws IOException {
		ByteBuffer buffer = ByteBuffer.wrap(bytes().array());
		List<Long> buckets = new ArrayList<>();
		while (buffer.remaining() >= Long.BYTES) {
			buckets.add(buffer.getLong());
		}
		return new SettingsDigest(buckets);
	}

	Map<ServiceRef, Integer> freeSlots() throws IOException {
		Map<ServiceRef, Integer> slots = new HashMap<>();
		for (int i = mapSize(); i > 0; i--) {
			String[] parts = halves(text());
			slots.put(new ServiceRef(new TeamId(parts[0]), new ServiceName(parts[1])), intValue());
		}
		return slots;
	}

	Map<ShardId, Epoch> shards() throws IOException {
		Map<ShardId, Epoch> shards = new HashMap<>();
		for (int i = mapSize(); i > 0; i--) {
			String[] parts = halves(text());
			shards.put(new ShardId(parts[0], Integer.parseInt(parts[1])), epoch());
		}
		return shards;
	}

	Map<String, Long> revisions() throws IOException {
		Map<String, Long> revisions = new HashMap<>();
		for (int i = mapSize(); i > 0; i--) {
			revisions.put(text(), revision().value());
		}
		return revisions;
	}

	PeerMessage.ForwardRequest forwardRequest() throws IOException {
		RequestId id = requestId();
		TeamId team = new TeamId(text());
		var service = FrameCodec.optional(text()).map(ServiceName::new);
		var kind = FrameCodec.optional(text()).map(KindName::new);
		var key = FrameCodec.optional(text()).map(IdempotencyKey::new);
		Urgency urgency = Urgency.valueOf(text());
		boolean repeatable = flag();
		long remainingMillis = number();
		String method = text();
		String target = text();
		Map<String, String> headers = new HashMap<>();
		for (int i = mapSize(); i > 0; i--) {
			headers.put(text(), text());
		}
		return new PeerMessage.ForwardRequest(id, team, service, kind, key, urgency, repeatable, remainingMillis,
				method, target, headers, bytes());
	}

	@Override
	public void close() throws IOException {
		this.unpacker.close();
	}

	private int mapSize() throws IOException {
		return checked(this.unpacker.unpackMapHeader());
	}

	private int checked(int size) {
		if (size < 0 || size > this.length - this.unpacker.getTotalReadBytes()) {
			throw new IllegalArgumentException("size exceeds the frame");
		}
		return size;
	}

	private static String[] halves(String text) {
		String[] parts = text.split("/", -1);
		if (parts.length != 2) {
			throw new IllegalArgumentException("name without two parts");
		}
		return parts;
	}

}
