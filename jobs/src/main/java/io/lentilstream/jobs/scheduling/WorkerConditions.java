package io.lentilstream.jobs.scheduling;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

import io.lentilstream.jobs.WorkerId;
import io.lentilstream.jobs.WorkerIncarnation;
import io.lentilstream.jobs.carryover.CarriedKnowledge;
import io.lentilstream.jobs.codec.DecodeException;

/**
 * The conditions of VMs that reports do not tell: since when serving tasks exceed their
 * latency targets, and which VMs are avoided after failures. Load pattern: a leader that
 * is replaced during a peak, or while some VMs fail all tasks.
 */
final class WorkerConditions implements CarriedKnowledge {

	/** The largest number of VMs in a snapshot. */
	private static final int MAX_WORKERS = 400;

	private static final byte[] NOTHING = new byte[0];

	private final SchedulerState state;

	private final Map<WorkerIncarnation, Condition> restored = new HashMap<>();

	private long restoredAt;

	WorkerConditions(SchedulerState state) {
		this.state = state;
	}

	@Override
	public String name() {
		return "worker-conditions";
	}

	@Override
	public byte[] snapshot() {
		long now = this.state.now();
		List<Worker> workers = this.state.workers.values()
			.stream()
			.filter((worker) -> conditionOf(worker, now).notable())
			.limit(MAX_WORKERS)
			.toList();
		if (workers.isEmpty()) {
			return NOTHING;
		}
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			packer.packArrayHeader(workers.size());
			for (Worker worker : workers) {
				Condition condition = conditionOf(worker, now);
				packer.packString(worker.id().value());
				packer.packLong(worker.incarnationStartMillis());
				packer.packLong(condition.overTargetMillis);
				packer.packLong(condition.avoidMillis);
				packer.packInt(condition.consecutiveFailures);
			}
			return packer.toByteArray();
		}
		catch (IOException ex) {
			throw new IllegalStateException("writing to an in-memory buffer failed", ex);
		}
	}

	@Override
	public void restore(byte[] snapshot, long ageMillis) throws DecodeException {
		Map<WorkerIncarnation, Condition> decoded = new HashMap<>();
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(snapshot)) {
			int count = unpacker.unpackArrayHeader();
			for (int i = 0; i < count; i++) {
				WorkerId id = new WorkerId(unpacker.unpackString());
				WorkerIncarnation incarnation = new WorkerIncarnation(id, unpacker.unpackLong());
				decoded.put(incarnation,
						new Condition(unpacker.unpackLong(), unpacker.unpackLong(), unpacker.unpackInt()));
			}
		}
		catch (IOException | MessagePackException | IllegalArgumentException ex) {
			throw new DecodeException("conditions of VMs cannot be decoded", ex);
		}
		this.restored.putAll(decoded);
		this.restoredAt = this.state.now() - ageMillis;
	}

	/**
	 * Applies the predecessor's knowledge to a VM that has sent its first report. The
	 * throttle ends the time over target if the report shows that it is over.
	 * @param worker the VM
	 */
	void apply(Worker worker) {
		Condition condition = this.restored.remove(worker.currentIncarnation());
		if (condition == null) {
			return;
		}
		if (condition.overTargetMillis >= 0) {
			worker.overTargetSince = Math.max(0, this.restoredAt - condition.overTargetMillis);
		}
		worker.avoidUntil = Math.max(worker.avoidUntil, this.restoredAt + condition.avoidMillis);
		worker.consecutiveFailures = Math.max(worker.consecutiveFailures, condition.consecutiveFailures);
	}

	private static Condition conditionOf(Worker worker, long now) {
		long overTargetMillis = (worker.overTargetSince >= 0) ? now - worker.overTargetSince : -1;
		return new Condition(overTargetMillis, Math.max(0, worker.avoidUntil - now), worker.consecutiveFailures);
	}

	/**
	 * The condition of a VM.
	 *
	 * @param overTargetMillis how long a serving task has exceeded its latency target, in
	 * milliseconds; negative if none does
	 * @param avoidMillis how long the VM remains avoided, in milliseconds
	 * @param consecutiveFailures the number of failed runs since the last success
	 */
	private record Condition(long overTargetMillis, long avoidMillis, int consecutiveFailures) {

		boolean notable() {
			return this.overTargetMillis >= 0 || this.avoidMillis > 0 || this.consecutiveFailures > 0;
		}

	}

}
