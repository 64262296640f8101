package io.lentilstream.shards.log;

import io.lentilstream.model.Epoch;
import io.lentilstream.shards.RecordFormat;
import io.lentilstream.shards.RecordFormatException;

/**
 * The head of a snapshot. It is written after the chunks, so that it names complete
 * snapshots only.
 *
 * @param epoch the epoch of the writer; a new owner rewrites the head with its own epoch,
 * which fences the snapshots of earlier owners
 * @param sequence the last log record that the snapshot covers; 0 without a snapshot
 * @param generation the generation of the chunks, 0 or 1
 * @param chunks the number of chunks
 * @param length the number of bytes in all chunks
 * @param checksum the CRC-32C of these bytes
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
