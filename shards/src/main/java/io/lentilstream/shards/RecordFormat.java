package io.lentilstream.shards;

import java.io.IOException;
import java.io.UncheckedIOException;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes the module's stored records: a format version, then MessagePack fields. An
 * unknown version is refused, so that an older process never guesses at newer records.
 */
public final class RecordFormat {

	private RecordFormat() {
	}

	/**
	 * Encodes a record.
	 * @param version the format version
	 * @param fields writes the fields
	 * @return the bytes
	 */
	public static byte[] encode(int version, FieldWriter fields) {
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			packer.packInt(version);
			fields.write(packer);
			return packer.toByteArray();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Decodes a record.
	 * @param what the name of the record for the error message
	 * @param version the only format version that is accepted
	 * @param bytes the bytes
	 * @param fields reads the fields
	 * @param <T> the type of the record
	 * @return the record
	 * @throws RecordFormatException if the version is unknown or the bytes are damaged
	 */
	public static <T> T decode(String what, int version, byte[] bytes, FieldReader<T> fields)
			throws RecordFormatException {
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
			int found = unpacker.unpackInt();
			if (found != version) {
				throw new RecordFormatException(what + " has format version " + found + ", expected " + version);
			}
			T record = fields.read(unpacker);
			if (unpacker.hasNext()) {
				throw new RecordFormatException(what + " has bytes after its last field");
			}
			return record;
		}
		catch (IOException | MessagePackException | IllegalArgumentException ex) {
			throw new RecordFormatException(what + " is damaged: " + ex.getClass().getSimpleName());
		}
	}

	/**
	 * Writes the fields of a record.
	 */
	@FunctionalInterface
	public interface FieldWriter {

		/**
		 * Writes the fields.
		 * @param packer where to write to
		 * @throws IOException never for a buffer
		 */
		void write(MessageBufferPacker packer) throws IOException;

	}

	/**
	 * Reads the fields of a record.
	 *
	 * @param <T> the type of the record
	 */
	@FunctionalInterface
	public interface FieldReader<T> {

		/**
		 * Reads the fields.
		 * @param unpacker where to read from
		 * @return the record
		 * @throws IOException if the bytes end early
		 */
		T read(MessageUnpacker unpacker) throws IOException;

	}

}
