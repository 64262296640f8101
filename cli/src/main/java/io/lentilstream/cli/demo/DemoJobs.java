package io.lentilstream.cli.demo;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * The jobs of the demonstration: submits them and waits for their completion.
 */
final class DemoJobs {

	static final int LEDGER_TASKS = 24;

	static final int LEDGER_TASK_MILLIS = 3_000;

	/**
	 * Tasks that one worker certainly runs at once, beside the capacity that is reserved
	 * for urgent tasks.
	 */
	private static final int MIN_TASKS_PER_WORKER = 3;

	private static final long RETRY_DELAY_MILLIS = 300;

	private final Supplier<String> entryVms;

	private final DemoClient client;

	private final List<String> accepted = new ArrayList<>();

	DemoJobs(Supplier<String> entryVms, DemoClient client) {
		this.entryVms = entryVms;
		this.client = client;
	}

	void submit(String key, String urgency, int tasks, String program, double cores) throws InterruptedException {
		String body = """
				{"kind": "%s", "urgency": "%s", "tasks": [{"program": "%s", "count": %d, "cores": %s,
				"memoryMegabytes": 500}]}""".formatted(DemoNames.LEDGER, urgency, program, tasks, cores);
		for (int attempt = 0; attempt < 40; attempt++) {
			DemoResponse response = this.client
				.send("POST", this.entryVms.get() + "/jobs/" + DemoNames.TEAM, Map.of("Idempotency-Key", key),
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
	 * Returns the run time of the longest job on a shard that is left with one worker.
	 * @return the time
	 */
	static Duration runTimeLimit() {
		return Duration.ofMillis((long) LEDGER_TASKS / MIN_TASKS_PER_WORKER * LEDGER_TASK_MILLIS);
	}

	/**
	 * Waits until all accepted jobs have ended. Each is queried at least once.
	 * @param deadlineNanos the {@link System#nanoTime()} value at which to give up
	 * @return the keys of the jobs that have not ended by then
	 */
	List<String> awaitCompletion(long deadlineNanos) throws InterruptedException {
		List<String> unfinished = new ArrayList<>(this.accepted);
		unfinished.removeIf(this::hasEnded);
		while (!unfinished.isEmpty() && System.nanoTime() < deadlineNanos) {
			Thread.sleep(200);
			unfinished.removeIf(this::hasEnded);
		}
		return unfinished;
	}

	private boolean hasEnded(String job) {
		return fetchStatus(job).path("ended").asBoolean(false);
	}

	com.fasterxml.jackson.databind.JsonNode fetchStatus(String job) {
		return this.client
			.send("GET", this.entryVms.get() + "/jobs/" + DemoNames.TEAM + "/" + job, Map.of(), new byte[0])
			.join()
			.json();
	}

	List<String> accepted() {
		return this.accepted;
	}

}
