package io.lentilstream.entry.calls;

import java.io.IOException;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import io.lentilstream.model.JobId;
import io.lentilstream.model.Resources;
import io.lentilstream.model.TeamId;
import io.lentilstream.model.Urgency;
import io.lentilstream.tasks.JobSubmission;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Guards against a job that is parsed differently from what its submitter declared.
 */
class JobParserTests {

	private static final DefaultTaskSizes DEFAULTS = (team, kind) -> new Resources(1_000, 512, 0);

	private static JobSubmission parse(String body) throws IOException {
		return JobParser.parse(new TeamId("t"), new JobId("j"), body.getBytes(), DEFAULTS);
	}

	@Test
	void usesTheDefaultSizeOfTheKindUnlessATaskDeclaresItsOwn() throws IOException {
		JobSubmission job = parse("""
				{"kind": "k", "urgency": "urgent", "tasks": [
				{"program": "a"}, {"program": "b", "count": 3, "cores": 0.5, "accelerators": 2}]}""");
		assertThat(job.urgency()).isEqualTo(Urgency.URGENT);
		assertThat(job.taskCount()).isEqualTo(4);
		assertThat(job.tasks().get(0).declared()).isEqualTo(new Resources(1_000, 512, 0));
		assertThat(job.tasks().get(1).declared()).isEqualTo(new Resources(500, 512, 2));
	}

	@ParameterizedTest
	@CsvSource(delimiter = ';', value = { "[]; must be a JSON object", "{}; valid \"kind\"",
			"{\"kind\":\"k\"}; list \"tasks\"", "{\"kind\":\"k\",\"urgency\":\"soon\"}; urgent, deferrable or batch",
			"{\"kind\":\"k\",\"tasks\":[{}]}; needs a \"program\"",
			"{\"kind\":\"k\",\"tasks\":[{\"program\":\"a\",\"count\":0}]}; at least 1", "{; Unexpected end-of-input" })
	void reportsTheErrorInAnInvalidJob(String body, String message) {
		assertThatThrownBy(() -> parse(body)).hasMessageContaining(message);
	}

}
