package io.lentilstream.tasks.log;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

import io.lentilstream.tasks.log.TaskLogEntry.Barrier;
import io.lentilstream.tasks.log.TaskLogEntry.CheckpointRecorded;
import io.lentilstream.tasks.log.TaskLogEntry.JobAccepted;
import io.lentilstream.tasks.log.TaskLogEntry.JobFailed;
import io.lentilstream.tasks.log.TaskLogEntry.JobsCancelled;
import io.lentilstream.tasks.log.TaskLogEntry.Placement;
import io.lentilstream.tasks.log.TaskLogEntry.Release;
import io.lentilstream.tasks.log.TaskLogEntry.TaskFailed;
import io.lentilstream.tasks.log.TaskLogEntry.TaskKey;
import io.lentilstream.tasks.log.TaskLogEntry.TasksFinished;
import io.lentilstream.tasks.log.TaskLogEntry.TasksPlaced;
import io.lentilstream.tasks.log.TaskLogEntry.TasksReleased;

/**
 * Encodes and decodes entries of the shard log as MessagePack. An entry consists of the
 * format version, its type and its fields.
 */
public final class TaskLogCodec {

	/** The format version that is written, and the only one that is accepted. */
	public static final int VERSION = 1;

	private static final int JOB_ACCEPTED = 1;

	private static final int TASKS_PLACED = 2;

	private static final int CHECKPOINT_RECORDED = 3;

	private static final int TASKS_FINISHED = 4;

	private static final int TASK_FAILED = 5;

	private static final int JOB_FAILED = 6;

	private static final int JOBS_CANCELLED = 7;

	private static final int BARRIER = 8;

	private static final int TASKS_RELEASED = 9;

	private TaskLogCodec() {
	}

	/**
	 * Encodes an entry.
	 * @param entry the entry
	 * @return the encoded entry
	 */
	public static byte[] encode(TaskLogEntry entry) {
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			packer.packInt(VERSION);
			write(packer, entry);
			return packer.toByteArray();
		}
		catch (IOException ex) {
			throw new IllegalStateException("cannot encode a task log entry", ex);
		}
	}

	/**
	 * Decodes an entry.
	 * @param bytes the encoded entry
	 * @return the entry, or the reason why it cannot be decoded
	 */
	public static LogDecodeOutcome decode(byte[] bytes) {
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
			int version = unpacker.unpackInt();
			if (version != VERSION) {
				return new LogDecodeOutcome.Unreadable(
						"task log entry has format version " + version + ", expected " + VERSION);
			}
			TaskLogEntry entry = read(unpacker);
			if (unpacker.hasNext()) {
				return new LogDecodeOutcome.Unreadable("task log entry has bytes after its end");
			}
			return new LogDecodeOutcome.Decoded(entry);
		}
		catch (IOException | MessagePackException | IllegalArgumentException | IndexOutOfBoundsException ex) {
			return new LogDecodeOutcome.Unreadable("task log entry is damaged: " + ex.getMessage());
		}
	}

	private static void write(MessagePacker packer, TaskLogEntry entry) throws IOException {
		if (entry instanceof JobAccepted accepted) {
			packer.packInt(JOB_ACCEPTED);
			packer.packLong(accepted.jobSequence());
			SubmissionCodec.write(packer, accepted.submission());
		}
		else if (entry instanceof TasksPlaced placed) {
			packer.packInt(TASKS_PLACED);
			packer.packArrayHeader(placed.placements().size());
			for (Placement placement : placed.placements()) {
				writeKey(packer, placement.task());
				packer.packLong(placement.workerHash());
				packer.packInt(placement.size().coreSixteenths());
				packer.packInt(placement.size().memorySixteenths());
			}
		}
		else if (entry instanceof TasksReleased released) {
			packer.packInt(TASKS_RELEASED);
			packer.packArrayHeader(released.releases().size());
			for (Release release : released.releases()) {
				writeKey(packer, release.task());
				packer.packLong(release.workerHash());
			}
		}
		else if (entry instanceof CheckpointRecorded recorded) {
			packer.packInt(CHECKPOINT_RECORDED);
			packer.packLong(recorded.jobSequence());
			packer.packInt(recorded.index());
			packer.packString(recorded.checkpoint());
		}
		else if (entry instanceof TasksFinished finished) {
			packer.packInt(TASKS_FINISHED);
			packer.packArrayHeader(finished.tasks().size());
			for (TaskKey key : finished.tasks()) {
				writeKey(packer, key);
			}
		}
		else {
			writeTermination(packer, entry);
		}
	}

	private static void writeTermination(MessagePacker packer, TaskLogEntry entry) throws IOException {
		if (entry instanceof TaskFailed failed) {
			packer.packInt(TASK_FAILED);
			writeKey(packer, failed.task());
			packer.packString(failed.reason());
		}
		else if (entry instanceof JobFailed failed) {
			packer.packInt(JOB_FAILED);
			packer.packLong(failed.jobSequence());
			packer.packString(failed.reason());
		}
		else if (entry instanceof JobsCancelled cancelled) {
			packer.packInt(JOBS_CANCELLED);
			packer.packArrayHeader(cancelled.jobSequences().size());
			for (long sequence : cancelled.jobSequences()) {
				packer.packLong(sequence);
			}
		}
		else {
			packer.packInt(BARRIER);
		}
	}

	private static TaskLogEntry read(MessageUnpacker unpacker) throws IOException {
		int type = unpacker.unpackInt();
		return switch (type) {
			case JOB_ACCEPTED -> new JobAccepted(unpacker.unpackLong(), SubmissionCodec.read(unpacker));
			case TASKS_PLACED -> new TasksPlaced(readList(unpacker, TaskLogCodec::readPlacement));
			case CHECKPOINT_RECORDED ->
				new CheckpointRecorded(unpacker.unpackLong(), unpacker.unpackInt(), unpacker.unpackString());
			case TASKS_FINISHED -> new TasksFinished(readList(unpacker, TaskLogCodec::readKey));
			case TASK_FAILED -> new TaskFailed(readKey(unpacker), unpacker.unpackString());
			case JOB_FAILED -> new JobFailed(unpacker.unpackLong(), unpacker.unpackString());
			case JOBS_CANCELLED -> new JobsCancelled(readList(unpacker, MessageUnpacker::unpackLong));
			case TASKS_RELEASED -> new TasksReleased(readList(unpacker, TaskLogCodec::readRelease));
			case BARRIER -> new Barrier();
			default -> throw new IllegalArgumentException("unknown entry type " + type);
		};
	}

	private static void writeKey(MessagePacker packer, TaskKey key) throws IOException {
		packer.packLong(key.jobSequence());
		packer.packInt(key.index());
	}

	private static TaskKey readKey(MessageUnpacker unpacker) throws IOException {
		return new TaskKey(unpacker.unpackLong(), unpacker.unpackInt());
	}

	private static Release readRelease(MessageUnpacker unpacker) throws IOException {
		return new Release(readKey(unpacker), unpacker.unpackLong());
	}

	private static Placement readPlacement(MessageUnpacker unpacker) throws IOException {
		TaskKey key = readKey(unpacker);
		long workerHash = unpacker.unpackLong();
		return new Placement(key, workerHash, new SizeFactor(unpacker.unpackInt(), unpacker.unpackInt()));
	}

	private static <T> List<T> readList(MessageUnpacker unpacker, ElementReader<T> reader) throws IOException {
		int count = unpacker.unpackArrayHeader();
		List<T> list = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			list.add(reader.read(unpacker));
		}
		return list;
	}

	@FunctionalInterface
	private interface ElementReader<T> {

		T read(MessageUnpacker unpacker) throws IOException;

	}

}
