package io.lentilstream.tasks.log;

import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import io.lentilstream.model.JobId;
import io.lentilstream.model.Resources;
import io.lentilstream.model.TeamId;
import io.lentilstream.model.Urgency;
import io.lentilstream.tasks.JobSubmission;
import io.lentilstream.tasks.TaskDeclaration;
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

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that every entry is decoded as it was encoded, and that truncated entries and
 * unknown versions are refused.
 */
class TaskLogCodecTests {

	static Stream<TaskLogEntry> entries() {
		TaskKey key = new TaskKey(1L << 40, 99_999);
		JobSubmission job = new JobSubmission(new TeamId("ash"), new JobId("nightly-7"), Urgency.DEFERRABLE,
				List.of(new TaskDeclaration(new Resources(1500, 2048, 1), "reconcile", 3),
						new TaskDeclaration(new Resources(100, 64, 0), "merge", 1)));
		return Stream.of(new JobAccepted(7, job),
				new TasksPlaced(List.of(new Placement(key, Long.MIN_VALUE, SizeFactor.DECLARED),
						new Placement(new TaskKey(0, 0), -1, new SizeFactor(4, 64)))),
				new TasksReleased(List.of(new Release(key, 12))), new CheckpointRecorded(3, 2, "cp-1"),
				new TasksFinished(List.of(key)), new TaskFailed(key, "out of memory"),
				new JobFailed(9, "larger than every VM"), new JobsCancelled(List.of(1L, 5L)), new Barrier());
	}

	@ParameterizedTest
	@MethodSource("entries")
	void decodesEveryEncodedEntry(TaskLogEntry entry) {
		assertThat(TaskLogCodec.decode(TaskLogCodec.encode(entry))).isEqualTo(new LogDecodeOutcome.Decoded(entry));
	}

	@ParameterizedTest
	@MethodSource("entries")
	void refusesEveryTruncatedEntry(TaskLogEntry entry) {
		byte[] bytes = TaskLogCodec.encode(entry);
		for (int length = 0; length < bytes.length; length++) {
			assertThat(TaskLogCodec.decode(java.util.Arrays.copyOf(bytes, length)))
				.isInstanceOf(LogDecodeOutcome.Unreadable.class);
		}
	}

	@Test
	void refusesAnUnknownVersion() {
		byte[] bytes = TaskLogCodec.encode(new Barrier());
		bytes[0] = 2;
		assertThat(TaskLogCodec.decode(bytes))
			.isEqualTo(new LogDecodeOutcome.Unreadable("task log entry has format version 2, expected 1"));
	}

}
