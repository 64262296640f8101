package io.lentilstream.tasks.scheduling;

import java.io.IOException;
import java.util.Optional;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

import io.lentilstream.tasks.TaskState;
import io.lentilstream.tasks.log.SizeFactor;
import io.lentilstream.tasks.log.SubmissionCodec;
import io.lentilstream.tasks.log.TaskLogEntry.TaskKey;

/**
 * The codec of snapshots, in MessagePack: format version, next job number, jobs. Tasks
 * that were never placed take no space.
 */
final class SnapshotCodec {

	static final int VERSION = 1;

	private static final int WAITING = 0;

	private static final int PLACED = 1;

	private static final int DONE = 2;

	private static final int FAILED = 3;

	private SnapshotCodec() {
	}

	static byte[] write(ShardState state) {
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			packer.packInt(VERSION);
			packer.packLong(state.nextSequence);
			packer.packArrayHeader(state.jobs.size());
			for (JobRecord job : state.jobs.values()) {
				writeJob(packer, job);
			}
			return packer.toByteArray();
		}
		catch (IOException ex) {
			throw new IllegalStateException("writing a snapshot to memory failed", ex);
		}
	}

	static Optional<String> read(byte[] bytes, ShardState state, LogReplay replay) {
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
			int version = unpacker.unpackInt();
			if (version != VERSION) {
				return Optional.of("task snapshot has format version " + version + ", expected " + VERSION);
			}
			state.nextSequence = unpacker.unpackLong();
			int jobs = unpacker.unpackArrayHeader();
			for (int i = 0; i < jobs; i++) {
				readJob(unpacker, state, replay);
			}
			return Optional.empty();
		}
		catch (IOException | MessagePackException | IllegalArgumentException | IndexOutOfBoundsException ex) {
			return Optional.of("task snapshot is damaged: " + ex.getMessage());
		}
	}

	private static void writeJob(MessagePacker packer, JobRecord job) throws IOException {
		packer.packLong(job.sequence);
		SubmissionCodec.write(packer, job.submission);
		packer.packInt((job.endedAs != null) ? job.endedAs.ordinal() : -1);
		packer.packString((job.problem != null) ? job.problem : "");
		int tasks = 0;
		for (TaskRecord task : job.tasks) {
			tasks += (task != null) ? 1 : 0;
		}
		packer.packArrayHeader(tasks);
		for (int i = 0; i < job.tasks.length; i++) {
			if (job.tasks[i] != null) {
				writeTask(packer, i, job.tasks[i]);
			}
		}
	}

	private static void writeTask(MessagePacker packer, int index, TaskRecord task) throws IOException {
		packer.packInt(index);
		if (task.worker != null) {
			packer.packInt(PLACED);
			packer.packLong(task.worker.hash);
			packer.packInt(task.sizeFactor.coreSixteenths());
			packer.packInt(task.sizeFactor.memorySixteenths());
		}
		else if (task.state == TaskState.DONE) {
			packer.packInt(DONE);
		}
		else if (task.state == TaskState.FAILED) {
			packer.packInt(FAILED);
		}
		else {
			packer.packInt(WAITING);
		}
		packer.packString((task.checkpoint != null) ? task.checkpoint : "");
	}

	private static void readJob(MessageUnpacker unpacker, ShardState state, LogReplay replay) throws IOException {
		long sequence = unpacker.unpackLong();
		JobRecord job = state.addJob(sequence, SubmissionCodec.read(unpacker), state.takeover.nanos());
		int endedAs = unpacker.unpackInt();
		String problem = unpacker.unpackString();
		job.problem = problem.isEmpty() ? null : problem;
		int tasks = unpacker.unpackArrayHeader();
		for (int i = 0; i < tasks; i++) {
			readTask(unpacker, sequence, replay);
		}
		if (endedAs >= 0) {
			replay.endJob(job, TaskState.values()[endedAs]);
		}
	}

	private static void readTask(MessageUnpacker unpacker, long sequence, LogReplay replay) throws IOException {
		TaskKey key = new TaskKey(sequence, unpacker.unpackInt());
		int kind = unpacker.unpackInt();
		switch (kind) {
			case PLACED ->
				replay.place(key, unpacker.unpackLong(), new SizeFactor(unpacker.unpackInt(), unpacker.unpackInt()));
			case DONE -> replay.end(key, TaskEvent.FINISHED);
			case FAILED -> replay.end(key, TaskEvent.GIVEN_UP);
			case WAITING -> replay.unendedTask(key);
			default -> throw new IllegalArgumentException("unknown kind of task " + kind);
		}
		String checkpoint = unpacker.unpackString();
		TaskRecord task = checkpoint.isEmpty() ? null : replay.unendedTask(key);
		if (task != null) {
			task.checkpoint = checkpoint;
		}
	}

}
