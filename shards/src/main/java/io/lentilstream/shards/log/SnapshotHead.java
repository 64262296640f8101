package io.lentilstream.shards.log;

import io.lentilstream.model.Epoch;
import io.lentilstream.shards.RecordFormat;
import io.lentilstream.shards.RecordFormatException;

/**
 * Is the head of a snapshot, written after its chunks.
 *
 * @param epoch the epoch of the writer; a new owner claims the head by writing it again
 * with its own epoch
 * @param sequence the last log record that the snapshot covers; 0 without a snapshot
 * @param generation the generation of the chunks
 * @param chunks the number of chunks
 * @param length the sum of the bytes of the chunks
 * @param checksum the CRC-32C of all bytes
 */
record SnapshotHead(Epoch epoch, long sequence, int generation, int chunks, long length, long checksum) {

	static final SnapshotHead NONE = new SnapshotHead(Epoch.NONE, 0, 0, 0, 0, 0);

	private static final int FORMAT = 1;

	SnapshotHead claimedBy(Epoch owner) {
		return new SnapshotHead(owner, this.sequence, this.generation, this.chunks, this.length, this.checksum);
	}

	byte[] encode() {
		return RecordFormat.encode(FORMAT, (packer) -> {
			packer.packLong(this.epoch.value());
			packer.packLong(this.sequence);
			packer.packInt(this.generation);
			packer.packInt(this.chunks);
			packer.packLong(this.length);
			packer.packLong(this.checksum);
		});
	}

	static SnapshotHead decode(byte[] bytes) throws RecordFormatException {
		return RecordFormat.decode("snapshot head", FORMAT, bytes,
				(unpacker) -> new SnapshotHead(new Epoch(unpacker.unpackLong()), unpacker.unpackLong(),
						unpacker.unpackInt(), unpacker.unpackInt(), unpacker.unpackLong(), unpacker.unpackLong()));
	}

}
