package io.lentilstream.shards;

import java.io.IOException;
import java.io.UncheckedIOException;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes the stored records of this module: a format version, then
 * MessagePack fields. An unknown version is rejected, so that an older process does not
 * misread records that a newer one wrote.
 */
public final class RecordFormat {

	private RecordFormat() {
	}

	/**
	 * Encodes a record.
	 * @param version the format version
	 * @param fields writes the fields
	 * @return the encoded record
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
	 * @param recordName the name of the record in error messages
	 * @param version the only accepted format version
	 * @param bytes the bytes
	 * @param fields reads the fields
	 * @param <T> the type of the record
	 * @return the record
	 * @throws RecordFormatException if the version is unknown or the bytes are damaged
	 */
	public static <T> T decode(String recordName, int version, byte[] bytes, FieldReader<T> fields)
			throws RecordFormatException {
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
			int found = unpacker.unpackInt();
			if (found != version) {
				throw new RecordFormatException(recordName + " has format version " + found + ", expected " + version);
			}
			T record = fields.read(unpacker);
			if (unpacker.hasNext()) {
				throw new RecordFormatException(recordName + " has bytes after its last field");
			}
			return record;
		}
		catch (IOException | MessagePackException | IllegalArgumentException ex) {
			throw new RecordFormatException(recordName + " is damaged: " + ex.getClass().getSimpleName());
		}
	}

	/**
	 * Writes the fields of a record.
	 */
	@FunctionalInterface
	public interface FieldWriter {

		/**
		 * Writes the fields.
		 * @param packer the destination
		 * @throws IOException does not occur, since the packer writes to memory
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
		 * @param unpacker the source
		 * @return the record
		 * @throws IOException if the bytes end early
		 */
		T read(MessageUnpacker unpacker) throws IOException;

	}

}
