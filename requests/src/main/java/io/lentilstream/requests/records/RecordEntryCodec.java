package io.lentilstream.requests.records;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

import io.lentilstream.model.EndpointId;
import io.lentilstream.model.IdempotencyKey;
import io.lentilstream.model.KindName;
import io.lentilstream.model.NotRunReason;
import io.lentilstream.model.RequestId;
import io.lentilstream.model.TeamId;

/**
 * Encodes and decodes record entries. An entry consists of a format version, a type and
 * its fields; a snapshot consists of a format version and a list of entries. Unknown
 * versions and types are rejected.
 */
final class RecordEntryCodec {

	private static final int FORMAT = 1;

	private static final int ACCEPTED = 1;

	private static final int DISPATCHING = 2;

	private static final int RETURNED = 3;

	private static final int CANCEL_REQUESTED = 4;

	private static final int ANSWERED = 5;

	private static final int NOT_RUN = 6;

	private static final int UNKNOWN = 7;

	private static final int REMOVED = 8;

	private RecordEntryCodec() {
	}

	static byte[] encode(RecordEntry entry) {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try {
			DataOutputStream out = new DataOutputStream(bytes);
			out.writeByte(FORMAT);
			out.writeByte(typeOf(entry));
			out.writeUTF(entry.key().team().value());
			out.writeUTF(entry.key().key().value());
			writeFields(out, entry);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return bytes.toByteArray();
	}

	static RecordEntry decode(byte[] bytes) throws IOException {
		DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
		requireFormat("record entry", in.readUnsignedByte());
		int type = in.readUnsignedByte();
		try {
			RecordKey key = new RecordKey(new TeamId(in.readUTF()), new IdempotencyKey(in.readUTF()));
			RecordEntry entry = readFields(in, type, key);
			if (in.available() > 0) {
				throw new IOException("record entry has bytes after its last field");
			}
			return entry;
		}
		catch (IllegalArgumentException ex) {
			throw new IOException("record entry of type " + type + " is damaged", ex);
		}
	}

	static byte[] encodeSnapshot(List<RecordEntry> entries) {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try {
			DataOutputStream out = new DataOutputStream(bytes);
			out.writeByte(FORMAT);
			out.writeInt(entries.size());
			for (RecordEntry entry : entries) {
				writeBytes(out, encode(entry));
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return bytes.toByteArray();
	}

	static List<RecordEntry> decodeSnapshot(byte[] bytes) throws IOException {
		DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
		requireFormat("record snapshot", in.readUnsignedByte());
		int count = in.readInt();
		List<RecordEntry> entries = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			entries.add(decode(readBytes(in)));
		}
		return entries;
	}

	private static void requireFormat(String what, int found) throws IOException {
		if (found != FORMAT) {
			throw new IOException(what + " has format version " + found + ", expected " + FORMAT);
		}
	}

	private static int typeOf(RecordEntry entry) {
		if (entry instanceof RecordEntry.Accepted) {
			return ACCEPTED;
		}
		if (entry instanceof RecordEntry.Dispatching) {
			return DISPATCHING;
		}
		if (entry instanceof RecordEntry.Returned) {
			return RETURNED;
		}
		if (entry instanceof RecordEntry.CancelRequested) {
			return CANCEL_REQUESTED;
		}
		if (entry instanceof RecordEntry.Answered) {
			return ANSWERED;
		}
		if (entry instanceof RecordEntry.NotRun) {
			return NOT_RUN;
		}
		return (entry instanceof RecordEntry.Unknown) ? UNKNOWN : REMOVED;
	}

	private static void writeFields(DataOutputStream out, RecordEntry entry) throws IOException {
		if (entry instanceof RecordEntry.Accepted accepted) {
			out.writeUTF(accepted.kind().value());
			writeBytes(out, accepted.digest());
			writeBytes(out, accepted.body());
			out.writeLong(accepted.keepMillis());
		}
		else if (entry instanceof RecordEntry.Dispatching dispatching) {
			out.writeUTF(dispatching.endpoint().value());
			out.writeUTF(dispatching.attempt().value());
		}
		else if (entry instanceof RecordEntry.Answered answered) {
			out.writeInt(answered.status());
			out.writeUTF(answered.contentType());
			writeBytes(out, answered.body());
			out.writeLong(answered.keepMillis());
		}
		else if (entry instanceof RecordEntry.NotRun notRun) {
			out.writeUTF(notRun.reason().name());
			out.writeLong(notRun.keepMillis());
		}
		else if (entry instanceof RecordEntry.Unknown unknown) {
			out.writeUTF(unknown.endpoint().value());
			out.writeUTF(unknown.attempt().value());
			out.writeLong(unknown.keepMillis());
		}
	}

	private static RecordEntry readFields(DataInputStream in, int type, RecordKey key) throws IOException {
		return switch (type) {
			case ACCEPTED ->
				new RecordEntry.Accepted(key, new KindName(in.readUTF()), readBytes(in), readBytes(in), in.readLong());
			case DISPATCHING ->
				new RecordEntry.Dispatching(key, new EndpointId(in.readUTF()), new RequestId(in.readUTF()));
			case RETURNED -> new RecordEntry.Returned(key);
			case CANCEL_REQUESTED -> new RecordEntry.CancelRequested(key);
			case ANSWERED -> new RecordEntry.Answered(key, in.readInt(), in.readUTF(), readBytes(in), in.readLong());
			case NOT_RUN -> new RecordEntry.NotRun(key, NotRunReason.valueOf(in.readUTF()), in.readLong());
			case UNKNOWN ->
				new RecordEntry.Unknown(key, new EndpointId(in.readUTF()), new RequestId(in.readUTF()), in.readLong());
			case REMOVED -> new RecordEntry.Removed(key);
			default -> throw new IOException("record entry has unknown type " + type);
		};
	}

	private static void writeBytes(DataOutputStream out, byte[] bytes) throws IOException {
		out.writeInt(bytes.length);
		out.write(bytes);
	}

	private static byte[] readBytes(DataInputStream in) throws IOException {
		int length = in.readInt();
		if (length < 0 || length > in.available()) {
			throw new IOException("record entry ends early");
		}
		return in.readNBytes(length);
	}

}
