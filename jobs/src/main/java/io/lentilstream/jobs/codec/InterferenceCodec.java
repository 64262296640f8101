package io.lentilstream.jobs.codec;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

import io.lentilstream.jobs.InterferenceSnapshot;

/**
 * Encodes what was learnt about images as a MessagePack array.
 */
public final class InterferenceCodec {

	private static final int FIELDS = 3;

	private InterferenceCodec() {
	}

	/**
	 * Encodes pairs of images.
	 * @param known the pairs
	 * @return the bytes
	 */
	public static byte[] encode(InterferenceSnapshot known) {
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			packer.packArrayHeader(known.pairs().size() * FIELDS);
			for (InterferenceSnapshot.Pair pair : known.pairs()) {
				packer.packString(pair.servingImage());
				packer.packString(pair.bestEffortImage());
				packer.packFloat((float) pair.sensitivity());
			}
			return packer.toByteArray();
		}
		catch (IOException ex) {
			throw new IllegalStateException("a buffer in memory failed", ex);
		}
	}

	/**
	 * Decodes pairs of images.
	 * @param bytes the bytes
	 * @return the pairs
	 * @throws DecodeException if the bytes are not pairs of images
	 */
	public static InterferenceSnapshot decode(byte[] bytes) throws DecodeException {
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
			int count = unpacker.unpackArrayHeader() / FIELDS;
			List<InterferenceSnapshot.Pair> pairs = new ArrayList<>();
			for (int i = 0; i < count; i++) {
				pairs.add(new InterferenceSnapshot.Pair(unpacker.unpackString(), unpacker.unpackString(),
						unpacker.unpackFloat()));
			}
			return new InterferenceSnapshot(pairs);
		}
		catch (IOException | MessagePackException ex) {
			throw new DecodeException("pairs of images cannot be read", ex);
		}
	}

}
