package io.lentilstream.jobs.codec;

import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import io.lentilstream.jobs.JobProgress;
import io.lentilstream.jobs.JobProgress.TaskProgress;
import io.lentilstream.jobs.JobState;
import io.lentilstream.jobs.StoredSuspicion;
import io.lentilstream.jobs.StoredSuspicion.AgeRange;
import io.lentilstream.jobs.StoredSuspicion.Crash;
import io.lentilstream.jobs.StoredSuspicion.Loss;
import io.lentilstream.jobs.WorkerId;
import io.lentilstream.jobs.WorkerIncarnation;
import io.lentilstream.model.JobId;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class ProgressCodecTests {

	private static final JobId JOB = new JobId("job-1");

	private static final StoredSuspicion SUSPICION = new StoredSuspicion(
			List.of(new Crash(incarnation("w1"), new AgeRange(-3, 80))),
			List.of(new Loss(incarnation("w2"), new InetSocketAddress("127.0.0.1", 80), new AgeRange(4, 9), true)),
			Optional.of(incarnation("w3")));

	@Test
	void theSuspicionAgainstATaskIsStored() throws DecodeException {
		JobProgress progress = progress(StoredSuspicion.NONE, SUSPICION);
		assertThat(ProgressCodec.decode(JOB, ProgressCodec.encode(progress))).isEqualTo(progress);
	}

	@Test
	void progressWithoutSuspicionIsReadAsBefore() throws DecodeException {
		JobProgress progress = progress(StoredSuspicion.NONE, StoredSuspicion.NONE);
		byte[] suspected = ProgressCodec.encode(progress(StoredSuspicion.NONE, SUSPICION));
		byte[] bytes = ProgressCodec.encode(progress);
		assertThat(ProgressCodec.decode(JOB, bytes)).isEqualTo(progress);
		assertThat(Arrays.copyOf(suspected, bytes.length)).isEqualTo(bytes);
	}

	@Test
	void damagedSuspicionIsReportedAsUnreadable() {
		byte[] bytes = ProgressCodec.encode(progress(SUSPICION));
		int plain = ProgressCodec.encode(progress(StoredSuspicion.NONE)).length;
		for (int length = plain + 1; length < bytes.length; length++) {
			byte[] cut = Arrays.copyOf(bytes, length);
			assertThatExceptionOfType(DecodeException.class).isThrownBy(() -> ProgressCodec.decode(JOB, cut));
		}
	}

	private static JobProgress progress(StoredSuspicion... suspicions) {
		List<TaskProgress> tasks = Arrays.stream(suspicions)
			.map((suspicion) -> new TaskProgress(0, 0, 1, false, List.of(2), 3, "x", suspicion))
			.toList();
		return new JobProgress(JOB, JobState.RUNNING, 0, List.of(), tasks);
	}

	private static WorkerIncarnation incarnation(String id) {
		return new WorkerIncarnation(new WorkerId(id), 12);
	}

}
