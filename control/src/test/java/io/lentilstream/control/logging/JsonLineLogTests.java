package io.lentilstream.control.logging;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class JsonLineLogTests {

	private final AtomicLong time = new AtomicLong(5000);

	private final JsonLineLog log = new JsonLineLog("node-1", this.time::get);

	@Test
	void aDecisionIsOneJsonObject() {
		this.log.append("task-started", "job-1.0.0.0", "worker", "w\"1", "waited-ms", 12L, "late", true);
		assertThat(written()).isEqualTo("{\"time\":5000,\"node\":\"node-1\",\"decision\":\"task-started\","
				+ "\"subject\":\"job-1.0.0.0\",\"worker\":\"w\\\"1\",\"waited-ms\":12,\"late\":true}\n");
	}

	@Test
	void droppedLinesAreCounted() {
		for (int i = 0; i < 1000; i++) {
			this.log.append("task-started", "job");
		}
		this.time.addAndGet(1000);
		this.log.append("task-started", "job");
		assertThat(written().lines()).hasSize(202).anyMatch((line) -> line.contains("\"count\":800"));
	}

	@Test
	void summariesAreKeptWhileOtherLinesAreLeftOut() {
		for (int i = 0; i < 1500; i++) {
			for (String kind : new String[] { "a", "b", "c", "d", "e", "f", "g" }) {
				this.log.append(kind, "task");
			}
			this.log.append("job-times", "job");
		}
		assertThat(written().lines().filter((line) -> line.contains("job-times"))).hasSize(1500);
	}

	@Test
	void queueFullOfOtherLinesHasRoomForSummaries() {
		for (int second = 0; second < 100; second++) {
			this.time.addAndGet(1000);
			for (int i = 0; i < 200; i++) {
				this.log.append("task-started", "job");
			}
		}
		for (int i = 0; i < 1500; i++) {
			this.log.append("job-times", "job");
		}
		assertThat(written().lines().filter((line) -> line.contains("job-times"))).hasSize(1500);
	}

	@Test
	void aBlockedOutputDoesNotBlockDecisions() throws InterruptedException {
		CountDownLatch blocked = new CountDownLatch(1);
		this.log.start(new PrintStream(new OutputStream() {
			@Override
			public void write(int value) {
				try {
					blocked.await();
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
			}
		}));
		for (int second = 0; second < 100; second++) {
			this.time.addAndGet(1000);
			for (int i = 0; i < 200; i++) {
				this.log.append("task-started", "job");
			}
		}
		blocked.countDown();
	}

	@Test
	void decisionsAreCountedAndTheirDurationsRecorded() {
		DecisionMetrics metrics = new DecisionMetrics(this.log);
		metrics.append("job-submitted", "job", "took-ms", 20L);
		metrics.append("job-submitted", "job", "took-ms", 20L);
		assertThat(metrics.text()).contains("lentilstream_job_submitted_total 2.0")
			.contains("lentilstream_job_submitted_took_ms{quantile=\"0.99\"} 20.0");
	}

	private String written() {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		this.log.flush(new PrintStream(bytes, true, StandardCharsets.UTF_8));
		return bytes.toString(StandardCharsets.UTF_8);
	}

}
