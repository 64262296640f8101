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
 * A codec that stores an interference snapshot as a flat MessagePack array with three
 * elements per pair of images.
 */
public final class InterferenceCodec {

	private static final int FIELDS = 3;

	private InterferenceCodec() {
	}

	/**
	 * Encodes a snapshot.
	 * @param snapshot the snapshot
	 * @return the encoded bytes
	 */
	public static byte[] encode(InterferenceSnapshot snapshot) {
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			packer.packArrayHeader(snapshot.pairs().size() * FIELDS);
			for (InterferenceSnapshot.Pair pair : snapshot.pairs()) {
				packer.packString(pair.servingImage());
				packer.packString(pair.bestEffortImage());
				packer.packFloat((float) pair.sensitivity());
			}
			return packer.toByteArray();
		}
		catch (IOException ex) {
			throw new IllegalStateException("writing to an in-memory buffer failed", ex);
		}
	}

	/**
	 * Decodes a snapshot.
	 * @param bytes the encoded bytes
	 * @return the snapshot
	 * @throws DecodeException if the bytes are not an encoded snapshot
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
			throw new DecodeException("interference snapshot cannot be decoded", ex);
		}
	}

}
