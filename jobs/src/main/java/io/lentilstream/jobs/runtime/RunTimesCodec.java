package io.lentilstream.jobs.runtime;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

import io.lentilstream.jobs.codec.DecodeException;

/**
 * A codec of learned run times. A queue takes its name, ten numbers and, for each kind,
 * its name and five numbers of five bytes each.
 */
final class RunTimesCodec {

	private RunTimesCodec() {
	}

	static byte[] encode(Map<String, QueueRunTimes> queues) {
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			packer.packMapHeader(queues.size());
			for (Map.Entry<String, QueueRunTimes> queue : queues.entrySet()) {
				packer.packString(queue.getKey());
				pack(packer, queue.getValue().scalars());
				pack(packer, queue.getValue().all().moments());
				packer.packMapHeader(queue.getValue().kinds().size());
				for (Map.Entry<String, EstimateRegression> kind : queue.getValue().kinds().entrySet()) {
					packer.packString(kind.getKey());
					pack(packer, kind.getValue().moments());
				}
			}
			return packer.toByteArray();
		}
		catch (IOException ex) {
			throw new IllegalStateException("writing to an in-memory buffer failed", ex);
		}
	}

	private static void pack(MessageBufferPacker packer, double[] values) throws IOException {
		for (double value : values) {
			packer.packFloat((float) value);
		}
	}

	static Map<String, QueueRunTimes> decode(byte[] bytes) throws DecodeException {
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
			Map<String, QueueRunTimes> queues = new LinkedHashMap<>();
			int count = bounded(unpacker.unpackMapHeader(), LearnedRunTimes.MAX_QUEUES);
			for (int i = 0; i < count; i++) {
				String name = unpacker.unpackString();
				double[] scalars = unpack(unpacker, QueueRunTimes.SCALARS);
				QueueRunTimes queue = new QueueRunTimes(unpackRegression(unpacker), scalars);
				int kinds = bounded(unpacker.unpackMapHeader(), QueueRunTimes.MAX_KINDS);
				for (int k = 0; k < kinds; k++) {
					queue.kinds().put(unpacker.unpackString(), unpackRegression(unpacker));
				}
				queues.put(name, queue);
			}
			return queues;
		}
		catch (IOException | MessagePackException ex) {
			throw new DecodeException("learned run times cannot be decoded", ex);
		}
	}

	private static int bounded(int count, int most) throws IOException {
		if (count > most) {
			throw new IOException("too many entries: " + count);
		}
		return count;
	}

	private static EstimateRegression unpackRegression(MessageUnpacker unpacker) throws IOException {
		double[] moments = unpack(unpacker, EstimateRegression.MOMENTS);
		if (moments[0] < 0) {
			throw new IOException("negative weight");
		}
		return EstimateRegression.of(moments);
	}

	private static double[] unpack(MessageUnpacker unpacker, int count) throws IOException {
		double[] values = new double[count];
		for (int i = 0; i < count; i++) {
			values[i] = unpacker.unpackFloat();
			if (!Double.isFinite(values[i])) {
				throw new IOException("not a finite number");
			}
		}
		return values;
	}

}
