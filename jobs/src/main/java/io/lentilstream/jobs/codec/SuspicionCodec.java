package io.lentilstream.jobs.codec;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

import io.lentilstream.jobs.StoredSuspicion;
import io.lentilstream.jobs.StoredSuspicion.AgeRange;
import io.lentilstream.jobs.StoredSuspicion.Crash;
import io.lentilstream.jobs.StoredSuspicion.Loss;
import io.lentilstream.jobs.WorkerId;
import io.lentilstream.jobs.WorkerIncarnation;

/**
 * A codec for the suspicion against a task, as part of the progress of its job.
 */
final class SuspicionCodec {

	private SuspicionCodec() {
	}

	static void pack(MessageBufferPacker packer, StoredSuspicion suspicion) throws IOException {
		packer.packArrayHeader(suspicion.crashes().size());
		for (Crash crash : suspicion.crashes()) {
			packIncarnation(packer, crash.incarnation());
			packAge(packer, crash.age());
		}
		packer.packArrayHeader(suspicion.losses().size());
		for (Loss loss : suspicion.losses()) {
			packIncarnation(packer, loss.incarnation());
			packer.packString(loss.address().getAddress().getHostAddress());
			packer.packInt(loss.address().getPort());
			packAge(packer, loss.age());
			packer.packBoolean(loss.onTrial());
		}
		packer.packBoolean(suspicion.plannedOn().isPresent());
		if (suspicion.plannedOn().isPresent()) {
			packIncarnation(packer, suspicion.plannedOn().get());
		}
	}

	private static void packIncarnation(MessageBufferPacker packer, WorkerIncarnation incarnation) throws IOException {
		packer.packString(incarnation.worker().value());
		packer.packLong(incarnation.startMillis());
	}

	private static void packAge(MessageBufferPacker packer, AgeRange age) throws IOException {
		packer.packLong(age.minMillis());
		packer.packLong(age.maxMillis());
	}

	static StoredSuspicion unpack(MessageUnpacker unpacker) throws IOException {
		List<Crash> crashes = new ArrayList<>();
		for (int remaining = unpacker.unpackArrayHeader(); remaining > 0; remaining--) {
			crashes.add(new Crash(unpackIncarnation(unpacker), unpackAge(unpacker)));
		}
		List<Loss> losses = new ArrayList<>();
		for (int remaining = unpacker.unpackArrayHeader(); remaining > 0; remaining--) {
			losses.add(new Loss(unpackIncarnation(unpacker),
					new InetSocketAddress(InetAddress.getByName(unpacker.unpackString()), unpacker.unpackInt()),
					unpackAge(unpacker), unpacker.unpackBoolean()));
		}
		Optional<WorkerIncarnation> plannedOn = unpacker.unpackBoolean() ? Optional.of(unpackIncarnation(unpacker))
				: Optional.empty();
		return new StoredSuspicion(crashes, losses, plannedOn);
	}

	private static AgeRange unpackAge(MessageUnpacker unpacker) throws IOException {
		return new AgeRange(unpacker.unpackLong(), unpacker.unpackLong());
	}

	private static WorkerIncarnation unpackIncarnation(MessageUnpacker unpacker) throws IOException {
		return new WorkerIncarnation(new WorkerId(unpacker.unpackString()), unpacker.unpackLong());
	}

}
