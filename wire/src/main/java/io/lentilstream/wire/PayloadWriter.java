package io.lentilstream.wire;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;

import org.msgpack.core.MessagePacker;

import io.lentilstream.model.ShardId;

/**
 * Writes the fields of a payload.
 */
final class PayloadWriter {

	private final MessagePacker packer;

	PayloadWriter(MessagePacker packer) {
		this.packer = packer;
	}

	PayloadWriter fields(int count) throws IOException {
		this.packer.packArrayHeader(count);
		return this;
	}

	PayloadWriter map(int size) throws IOException {
		this.packer.packMapHeader(size);
		return this;
	}

	PayloadWriter text(Object value) throws IOException {
		this.packer.packString(value.toString());
		return this;
	}

	PayloadWriter text(Optional<?> value) throws IOException {
		this.packer.packString(value.map(Object::toString).orElse(""));
		return this;
	}

	PayloadWriter number(long value) throws IOException {
		this.packer.packLong(value);
		return this;
	}

	PayloadWriter flag(boolean value) throws IOException {
		this.packer.packBoolean(value);
		return this;
	}

	PayloadWriter bytes(PeerMessage.Bytes value) throws IOException {
		this.packer.packBinaryHeader(value.array().length);
		this.packer.writePayload(value.array());
		return this;
	}

	PayloadWriter shard(ShardId shard) throws IOException {
		return text(shard.scope()).number(shard.index());
	}

	PayloadWriter digest(SettingsDigest digest) throws IOException {
		this.packer.packBinaryHeader(SettingsDigest.BUCKETS * Long.BYTES);
		ByteBuffer buffer = ByteBuffer.allocate(SettingsDigest.BUCKETS * Long.BYTES);
		digest.buckets().forEach(buffer::putLong);
		this.packer.writePayload(buffer.array());
		return this;
	}

}
