package io.lentilstream.wire;

import java.io.ByteArrayOutputStream;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * Compresses the content of settings documents, which repeat paths and take most of the
 * control bytes in a burst of changes.
 */
final class Compression {

	/**
	 * Smallest content that is compressed, in bytes; shorter ones gain nothing.
	 */
	static final int MIN_BYTES = 128;

	private static final int BUFFER_BYTES = 4096;

	private Compression() {
	}

	static byte[] deflate(byte[] content) {
		Deflater deflater = new Deflater();
		try {
			deflater.setInput(content);
			deflater.finish();
			ByteArrayOutputStream out = new ByteArrayOutputStream();
			byte[] buffer = new byte[BUFFER_BYTES];
			while (!deflater.finished()) {
				out.write(buffer, 0, deflater.deflate(buffer));
			}
			return out.toByteArray();
		}
		finally {
			deflater.end();
		}
	}

	/**
	 * Restores a content.
	 * @param compressed the compressed bytes
	 * @param limit largest content, in bytes; a small frame can claim any size
	 * @return the content
	 */
	static byte[] inflate(byte[] compressed, int limit) {
		Inflater inflater = new Inflater();
		try {
			inflater.setInput(compressed);
			ByteArrayOutputStream out = new ByteArrayOutputStream();
			byte[] buffer = new byte[BUFFER_BYTES];
			while (!inflater.finished()) {
				int count = inflater.inflate(buffer);
				if (count == 0 || out.size() + count > limit) {
					throw new IllegalArgumentException("compressed content is cut or too large");
				}
				out.write(buffer, 0, count);
			}
			return out.toByteArray();
		}
		catch (DataFormatException ex) {
			throw new IllegalArgumentException("damaged compressed content", ex);
		}
		finally {
			inflater.end();
		}
	}

}
