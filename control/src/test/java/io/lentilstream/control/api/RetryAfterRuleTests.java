package io.lentilstream.control.api;

import java.util.HashSet;
import java.util.Set;

import org.junit.jupiter.api.Test;

import io.lentilstream.model.JobId;

import static org.assertj.core.api.Assertions.assertThat;

class RetryAfterRuleTests {

	private final RetryAfterRule rule = new RetryAfterRule();

	@Test
	void aCallerWithFourRetriesOutlastsAnOutageOfSevenSeconds() {
		for (int arrival = 0; arrival < 7000; arrival += 100) {
			for (int priority = 0; priority < 3; priority++) {
				long at = arrival;
				for (int retry = 0; retry < 4 && at < 7000; retry++) {
					at += 1000L * this.rule.seconds(at, priority, new JobId("job-" + arrival));
				}
				assertThat(at).isGreaterThanOrEqualTo(7000);
			}
		}
	}

	@Test
	void anUrgentCallerRetriesNoLaterThanOthers() {
		for (int outage = 0; outage < 20_000; outage += 100) {
			JobId job = new JobId("job-" + outage);
			assertThat(this.rule.seconds(outage, 0, job)).isLessThanOrEqualTo(this.rule.seconds(outage, 2, job));
		}
	}

	@Test
	void lessUrgentCallersDoNotAllRetryInTheSameSecond() {
		Set<Integer> seconds = new HashSet<>();
		for (int i = 0; i < 50; i++) {
			seconds.add(this.rule.seconds(2000, 2, new JobId("job-" + i)));
		}
		assertThat(seconds).hasSizeGreaterThan(1);
	}

	@Test
	void aShortOutageLeadsToARetryAfterOneSecond() {
		assertThat(this.rule.seconds(0, 0, new JobId("job-1"))).isEqualTo(1);
	}

}
