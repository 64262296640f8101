package io.lentilstream.shards.log;

import java.util.ArrayList;
import java.util.List;

import io.lentilstream.model.Epoch;
import io.lentilstream.shards.RecordFormat;
import io.lentilstream.shards.RecordFormatException;

/**
 * The value of one slot of the ring: the entries of one commit, or the marker that starts
 * an epoch.
 *
 * @param epoch the epoch of the writer
 * @param sequence the sequence number of the record, from 1 without gaps
 * @param marker whether this record is the marker of its epoch
 * @param entries the entries; empty for a marker
 */
record LogRecord(Epoch epoch, long sequence, boolean marker, List<byte[]> entries) {

	private static final int FORMAT = 1;

	byte[] encode() {
		return RecordFormat.encode(FORMAT, (packer) -> {
			packer.packLong(this.epoch.value());
			packer.packLong(this.sequence);
			packer.packBoolean(this.marker);
			packer.packArrayHeader(this.entries.size());
			for (byte[] entry : this.entries) {
				packer.packBinaryHeader(entry.length);
				packer.writePayload(entry);
			}
		});
	}

	static LogRecord decode(byte[] bytes) throws RecordFormatException {
		return RecordFormat.decode("log record", FORMAT, bytes, (unpacker) -> {
			Epoch epoch = new Epoch(unpacker.unpackLong());
			long sequence = unpacker.unpackLong();
			boolean marker = unpacker.unpackBoolean();
			int count = unpacker.unpackArrayHeader();
			List<byte[]> entries = new ArrayList<>();
			for (int i = 0; i < count; i++) {
				entries.add(unpacker.readPayload(unpacker.unpackBinaryHeader()));
			}
			return new LogRecord(epoch, sequence, marker, entries);
		});
	}

}
