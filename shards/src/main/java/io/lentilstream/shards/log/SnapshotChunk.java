package io.lentilstream.shards.log;

import io.lentilstream.model.Epoch;
import io.lentilstream.shards.RecordFormat;
import io.lentilstream.shards.RecordFormatException;

/**
 * One chunk of a snapshot.
 *
 * @param epoch the epoch of the writer
 * @param sequence the last log record that the snapshot covers
 * @param index the index of the chunk, from 0
 * @param bytes the bytes
 */
record SnapshotChunk(Epoch epoch, long sequence, int index, byte[] bytes) {

	private static final int FORMAT = 1;

	byte[] encode() {
		return RecordFormat.encode(FORMAT, (packer) -> {
			packer.packLong(this.epoch.value());
			packer.packLong(this.sequence);
			packer.packInt(this.index);
			packer.packBinaryHeader(this.bytes.length);
			packer.writePayload(this.bytes);
		});
	}

	static SnapshotChunk decode(byte[] bytes) throws RecordFormatException {
		return RecordFormat.decode("snapshot chunk", FORMAT, bytes,
				(unpacker) -> new SnapshotChunk(new Epoch(unpacker.unpackLong()), unpacker.unpackLong(),
						unpacker.unpackInt(), unpacker.readPayload(unpacker.unpackBinaryHeader())));
	}

}
