package io.lentilstream.cli.demo;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Submits batch jobs and waits for their end.
 */
final class DemoJobs {

	private static final long RETRY_MILLIS = 300;

	private final DemoCluster cluster;

	private final DemoClient client;

	private final List<String> accepted = new ArrayList<>();

	DemoJobs(DemoCluster cluster, DemoClient client) {
		this.cluster = cluster;
		this.client = client;
	}

	void submit(String key, String urgency, int tasks, String program, double cores) throws InterruptedException {
		String body = """
				{"kind": "%s", "urgency": "%s", "tasks": [{"program": "%s", "count": %d, "cores": %s,
				"memoryMegabytes": 500}]}""".formatted(DemoNames.LEDGER, urgency, program, tasks, cores);
		for (int attempt = 0; attempt < 40; attempt++) {
			DemoAnswer answer = this.client
				.send("POST", this.cluster.pick() + "/jobs/" + DemoNames.TEAM, Map.of("Idempotency-Key", key),
						body.getBytes(StandardCharsets.UTF_8))
				.join();
			if (answer.isAccepted()) {
				this.accepted.add(key);
				return;
			}
			Thread.sleep(RETRY_MILLIS);
		}
	}

	/**
	 * Waits until all jobs ended.
	 * @param limitNanos the instant by {@link System#nanoTime()} at which to give up
	 * @return the jobs that did not end
	 */
	List<String> awaitEnd(long limitNanos) throws InterruptedException {
		List<String> open = new ArrayList<>(this.accepted);
		while (!open.isEmpty() && System.nanoTime() < limitNanos) {
			open.removeIf((job) -> show(job).path("ended").asBoolean(false));
			Thread.sleep(200);
		}
		return open;
	}

	com.fasterxml.jackson.databind.JsonNode show(String job) {
		return this.client
			.send("GET", this.cluster.pick() + "/jobs/" + DemoNames.TEAM + "/" + job, Map.of(), new byte[0])
			.join()
			.json();
	}

	List<String> accepted() {
		return this.accepted;
	}

}
