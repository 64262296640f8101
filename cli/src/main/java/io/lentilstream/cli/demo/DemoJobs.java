package io.lentilstream.cli.demo;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The jobs of the demonstration: submits them and waits for their completion.
 */
final class DemoJobs {

	private static final long RETRY_DELAY_MILLIS = 300;

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
			DemoResponse response = this.client
				.send("POST", this.cluster.nextBaseUrl() + "/jobs/" + DemoNames.TEAM, Map.of("Idempotency-Key", key),
						body.getBytes(StandardCharsets.UTF_8))
				.join();
			if (response.isAccepted()) {
				this.accepted.add(key);
				return;
			}
			Thread.sleep(RETRY_DELAY_MILLIS);
		}
	}

	/**
	 * Waits until all accepted jobs have ended.
	 * @param deadlineNanos the {@link System#nanoTime()} value at which to give up
	 * @return the keys of the jobs that have not ended by then
	 */
	List<String> awaitCompletion(long deadlineNanos) throws InterruptedException {
		List<String> unfinished = new ArrayList<>(this.accepted);
		while (!unfinished.isEmpty() && System.nanoTime() < deadlineNanos) {
			unfinished.removeIf((job) -> fetchStatus(job).path("ended").asBoolean(false));
			Thread.sleep(200);
		}
		return unfinished;
	}

	com.fasterxml.jackson.databind.JsonNode fetchStatus(String job) {
		return this.client
			.send("GET", this.cluster.nextBaseUrl() + "/jobs/" + DemoNames.TEAM + "/" + job, Map.of(), new byte[0])
			.join()
			.json();
	}

	List<String> accepted() {
		return this.accepted;
	}

}
