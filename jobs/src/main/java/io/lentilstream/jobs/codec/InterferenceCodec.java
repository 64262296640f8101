package io.lentilstream.jobs.codec;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ValueType;

import io.lentilstream.jobs.InterferenceSnapshot;

/**
 * A codec that stores an interference snapshot as a MessagePack array of a version, the
 * serving images with their bases, the best-effort images, and the pairs as indexes of
 * both with sensitivity and weight. Decodes the format of earlier versions too, a flat
 * array with three elements per pair of images.
 */
public final class InterferenceCodec {

	private static final int VERSION = 2;

	private static final int FIELDS = 4;

	private static final int EARLIER_PAIR_FIELDS = 3;

	private InterferenceCodec() {
	}

	/**
	 * Encodes a snapshot.
	 * @param snapshot the snapshot; there must be a base for each serving image
	 * @return the encoded bytes
	 */
	public static byte[] encode(InterferenceSnapshot snapshot) {
		List<String> servingImages = snapshot.bases().stream().map(InterferenceSnapshot.Base::servingImage).toList();
		List<String> bestEffortImages = snapshot.pairs()
			.stream()
			.map(InterferenceSnapshot.Pair::bestEffortImage)
			.distinct()
			.toList();
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			packer.packArrayHeader(FIELDS).packInt(VERSION);
			packer.packArrayHeader(snapshot.bases().size());
			for (InterferenceSnapshot.Base base : snapshot.bases()) {
				packer.packString(base.servingImage()).packFloat((float) base.logRatio());
			}
			packer.packArrayHeader(bestEffortImages.size());
			for (String image : bestEffortImages) {
				packer.packString(image);
			}
			packer.packArrayHeader(snapshot.pairs().size());
			for (InterferenceSnapshot.Pair pair : snapshot.pairs()) {
				packer.packInt(servingImages.indexOf(pair.servingImage()))
					.packInt(bestEffortImages.indexOf(pair.bestEffortImage()))
					.packFloat((float) pair.sensitivity())
					.packFloat((float) pair.weight());
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
			int count = unpacker.unpackArrayHeader();
			if (count == 0 || unpacker.getNextFormat().getValueType() == ValueType.STRING) {
				return decodeEarlier(unpacker, count / EARLIER_PAIR_FIELDS);
			}
			int version = unpacker.unpackInt();
			if (version != VERSION) {
				throw new IOException("unknown version " + version);
			}
			return decodeCurrent(unpacker);
		}
		catch (IOException | MessagePackException | IndexOutOfBoundsException ex) {
			throw new DecodeException("interference snapshot cannot be decoded", ex);
		}
	}

	private static InterferenceSnapshot decodeEarlier(MessageUnpacker unpacker, int count) throws IOException {
		List<InterferenceSnapshot.Pair> pairs = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			pairs.add(new InterferenceSnapshot.Pair(unpacker.unpackString(), unpacker.unpackString(),
					unpacker.unpackFloat()));
		}
		return new InterferenceSnapshot(pairs);
	}

	private static InterferenceSnapshot decodeCurrent(MessageUnpacker unpacker) throws IOException {
		List<InterferenceSnapshot.Base> bases = new ArrayList<>();
		for (int count = unpacker.unpackArrayHeader(); count > 0; count--) {
			bases.add(new InterferenceSnapshot.Base(unpacker.unpackString(), unpacker.unpackFloat()));
		}
		List<String> bestEffortImages = new ArrayList<>();
		for (int count = unpacker.unpackArrayHeader(); count > 0; count--) {
			bestEffortImages.add(unpacker.unpackString());
		}
		List<InterferenceSnapshot.Pair> pairs = new ArrayList<>();
		for (int count = unpacker.unpackArrayHeader(); count > 0; count--) {
			pairs.add(new InterferenceSnapshot.Pair(bases.get(unpacker.unpackInt()).servingImage(),
					bestEffortImages.get(unpacker.unpackInt()), unpacker.unpackFloat(), unpacker.unpackFloat()));
		}
		return new InterferenceSnapshot(bases, pairs);
	}

}
