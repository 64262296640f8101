package io.lentilstream.control.term;

import java.util.List;

import org.junit.jupiter.api.Test;

import io.lentilstream.jobs.JobSubmission;
import io.lentilstream.jobs.QueuePolicy;
import io.lentilstream.model.JobId;
import io.lentilstream.model.ServiceName;

import static org.assertj.core.api.Assertions.assertThat;

class SubmissionGateTests {

	private boolean leaseHeld;

	private final SubmissionGate gate = new SubmissionGate(() -> this.leaseHeld);

	@Test
	void aJobThatArrivesAfterTheLeaseExpiredIsHeldBack() {
		this.gate.add(job("job-1"));
		assertThat(this.gate.release()).isEmpty();
		this.gate.add(job("job-1"));
		this.gate.add(job("job-2"));
		this.leaseHeld = true;
		assertThat(this.gate.release()).extracting((job) -> job.id().value()).containsExactly("job-1", "job-2");
		assertThat(this.gate.release()).isEmpty();
	}

	private static JobSubmission job(String id) {
		return new JobSubmission(new JobId(id), "queue", new QueuePolicy(new ServiceName("press"), 0, 2, 2, 500), "",
				List.of(), JobSubmission.Schedule.ONCE, 5);
	}

}
