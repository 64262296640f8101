package io.lentilstream.jobs.codec;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.junit.jupiter.api.Test;

import io.lentilstream.jobs.JobSubmission;
import io.lentilstream.jobs.QueuePolicy;
import io.lentilstream.jobs.StepSpec;
import io.lentilstream.model.JobId;
import io.lentilstream.model.Resources;
import io.lentilstream.model.ServiceName;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class SubmissionCodecTests {

	private static final JobId JOB = new JobId("job-1");

	private static final JobSubmission SUBMISSION = new JobSubmission(JOB, "queue",
			new QueuePolicy(new ServiceName("press"), 0, 2, 2, 500), "payload",
			List.of(new StepSpec(1, new Resources(1000, 100, 0), 500, List.of(), StepSpec.Traits.NONE,
					StepSpec.Placement.ANYWHERE, "", 0, -1)),
			JobSubmission.Schedule.ONCE, 5);

	@Test
	void aSubmissionIsDecodedAsItWasEncoded() throws DecodeException {
		assertThat(SubmissionCodec.decode(JOB, SubmissionCodec.encode(SUBMISSION))).isEqualTo(SUBMISSION);
	}

	@Test
	void aSubmissionForAServiceWithAnInvalidNameIsCorrupt() {
		String text = new String(SubmissionCodec.encode(SUBMISSION), StandardCharsets.ISO_8859_1);
		byte[] corrupt = text.replace("press", "pre s").getBytes(StandardCharsets.ISO_8859_1);
		assertThatExceptionOfType(DecodeException.class).isThrownBy(() -> SubmissionCodec.decode(JOB, corrupt));
	}

}
