package io.lentilstream.jobs.codec;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

import io.lentilstream.jobs.JobProgress;
import io.lentilstream.jobs.JobProgress.StepProgress;
import io.lentilstream.jobs.JobProgress.TaskProgress;
import io.lentilstream.jobs.JobState;
import io.lentilstream.jobs.StoredSuspicion;
import io.lentilstream.model.JobId;

/**
 * A codec that stores the progress of a job as MessagePack arrays. Job states are stored
 * as ordinals.
 */
public final class ProgressCodec {

	private static final int VERSION = 1;

	/**
	 * The version of progress with wide steps. Earlier versions of the program, which
	 * would start tasks again that are done, cannot read it.
	 */
	private static final int WIDE_VERSION = 2;

	private static final int FIELDS = 5;

	private static final int TASK_FIELDS = 7;

	private ProgressCodec() {
	}

	/**
	 * Encodes the progress of a job. The id of the job is not included.
	 * @param progress the progress
	 * @return the encoded bytes
	 */
	public static byte[] encode(JobProgress progress) {
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			packer.packArrayHeader(FIELDS);
			packer.packInt(progress.steps().isEmpty() ? VERSION : WIDE_VERSION);
			packer.packInt(progress.state().ordinal());
			packer.packLong(progress.endedAtMillis());
			packer.packArrayHeader(progress.completedOccurrences().size());
			for (int occurrence : progress.completedOccurrences()) {
				packer.packInt(occurrence);
			}
			packer.packArrayHeader(progress.tasks().size() * TASK_FIELDS);
			for (TaskProgress task : progress.tasks()) {
				packer.packInt(task.occurrence());
				packer.packInt(task.step());
				packer.packInt(task.index());
				packer.packBoolean(task.done());
				packer.packArrayHeader(task.failedRuns().size());
				for (int run : task.failedRuns()) {
					packer.packInt(run);
				}
				packer.packInt(task.lastRun());
				packer.packString(task.checkpoint());
			}
			packSuspicions(packer, progress.tasks());
			packer.packInt(progress.startableOccurrences());
			if (!progress.steps().isEmpty()) {
				packSteps(packer, progress.steps());
			}
			return packer.toByteArray();
		}
		catch (IOException ex) {
			throw new IllegalStateException("writing to an in-memory buffer failed", ex);
		}
	}

	/**
	 * Decodes the progress of a job.
	 * @param job the id under which the bytes are stored
	 * @param bytes the encoded bytes
	 * @return the progress
	 * @throws DecodeException if the bytes are corrupt or have an unsupported version
	 */
	public static JobProgress decode(JobId job, byte[] bytes) throws DecodeException {
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
			int fields = unpacker.unpackArrayHeader();
			int version = unpacker.unpackInt();
			if (fields != FIELDS || version != VERSION && version != WIDE_VERSION) {
				throw new DecodeException("unsupported version of job progress: " + version, null);
			}
			int ordinal = unpacker.unpackInt();
			if (ordinal < 0 || ordinal >= JobState.values().length) {
				throw new DecodeException("unknown state in job progress: " + ordinal, null);
			}
			long endedAt = unpacker.unpackLong();
			int completed = unpacker.unpackArrayHeader();
			List<Integer> occurrences = new ArrayList<>();
			for (int i = 0; i < completed; i++) {
				occurrences.add(unpacker.unpackInt());
			}
			int count = unpacker.unpackArrayHeader() / TASK_FIELDS;
			List<TaskProgress> tasks = new ArrayList<>();
			for (int i = 0; i < count; i++) {
				tasks.add(new TaskProgress(unpacker.unpackInt(), unpacker.unpackInt(), unpacker.unpackInt(),
						unpacker.unpackBoolean(), unpackRuns(unpacker), unpacker.unpackInt(), unpacker.unpackString(),
						StoredSuspicion.NONE));
			}
			if (unpacker.hasNext()) {
				unpackSuspicions(unpacker, tasks);
			}
			int startable = unpacker.hasNext() ? unpacker.unpackInt() : JobProgress.UNKNOWN_OCCURRENCES;
			List<StepProgress> steps = (version == WIDE_VERSION) ? unpackSteps(unpacker, bytes.length) : List.of();
			return new JobProgress(job, JobState.values()[ordinal], endedAt, startable, occurrences, tasks, steps);
		}
		catch (IOException | MessagePackException | IllegalArgumentException ex) {
			throw new DecodeException("job progress cannot be decoded", ex);
		}
	}

	private static void packSteps(MessageBufferPacker packer, List<StepProgress> steps) throws IOException {
		packer.packArrayHeader(steps.size());
		for (StepProgress step : steps) {
			packer.packInt(step.occurrence());
			packer.packInt(step.step());
			packer.packBinaryHeader(step.doneBits().length);
			packer.writePayload(step.doneBits());
		}
	}

	private static List<StepProgress> unpackSteps(MessageUnpacker unpacker, int length)
			throws IOException, DecodeException {
		List<StepProgress> steps = new ArrayList<>();
		for (int remaining = unpacker.unpackArrayHeader(); remaining > 0; remaining--) {
			int occurrence = unpacker.unpackInt();
			int step = unpacker.unpackInt();
			int bytes = unpacker.unpackBinaryHeader();
			// The unpacker would reserve memory for any length.
			if (step < 0 || bytes > length) {
				throw new DecodeException("invalid step in job progress: " + step + ", " + bytes + " bytes", null);
			}
			steps.add(new StepProgress(occurrence, step, unpacker.readPayload(bytes)));
		}
		return steps;
	}

	// These and the number of occurrences follow the other fields, so that versions
	// without them pass over them.
	private static void packSuspicions(MessageBufferPacker packer, List<TaskProgress> tasks) throws IOException {
		List<TaskProgress> suspects = tasks.stream().filter((task) -> !task.suspicion().none()).toList();
		packer.packArrayHeader(suspects.size());
		for (TaskProgress task : suspects) {
			packer.packInt(tasks.indexOf(task));
			SuspicionCodec.pack(packer, task.suspicion());
		}
	}

	private static void unpackSuspicions(MessageUnpacker unpacker, List<TaskProgress> tasks)
			throws IOException, DecodeException {
		for (int remaining = unpacker.unpackArrayHeader(); remaining > 0; remaining--) {
			int position = unpacker.unpackInt();
			if (position < 0 || position >= tasks.size()) {
				throw new DecodeException("unknown task in job progress: " + position, null);
			}
			TaskProgress task = tasks.get(position);
			tasks.set(position, new TaskProgress(task.occurrence(), task.step(), task.index(), task.done(),
					task.failedRuns(), task.lastRun(), task.checkpoint(), SuspicionCodec.unpack(unpacker)));
		}
	}

	private static List<Integer> unpackRuns(MessageUnpacker unpacker) throws IOException {
		int count = unpacker.unpackArrayHeader();
		List<Integer> runs = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			runs.add(unpacker.unpackInt());
		}
		return runs;
	}

}
