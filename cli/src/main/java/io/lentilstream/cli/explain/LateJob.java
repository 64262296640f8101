package io.lentilstream.cli.explain;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The times that a {@code job-times} or {@code service-times} line tells of a job.
 *
 * @param id the id of the job
 * @param queue the name of the queue
 * @param state how the job ended; {@code RUNNING} for a long-running job
 * @param late whether the job missed its objective, or a long-running job lost time
 * @param wallMillis the time from acceptance to the end, in milliseconds
 * @param milliCores the processor time that all tasks request
 * @param loggedAt when the line was written, in milliseconds since 1970
 * @param tailMillis how long the job waited for the later half of its tasks
 * @param millis the time for each phase, in milliseconds
 */
record LateJob(String id, String queue, String state, boolean late, long wallMillis, long milliCores, long loggedAt,
		long tailMillis, Map<String, Long> millis) {

	static final String UNEXPLAINED = "unexplained";

	/** The time under earlier leaders, whose phases are not told. */
	static final String EARLIER_TERM = "earlier-term";

	private static final Set<String> WORK = Set.of("full", "away");

	static LateJob of(DecisionLine line) {
		JsonNode fields = line.fields();
		Map<String, Long> millis = new LinkedHashMap<>();
		add(millis, EARLIER_TERM, fields.path("earlier-term").asLong());
		add(millis, "storing", fields.path("unknown").asLong());
		for (String entry : fields.path("times").asText().split(" ")) {
			int separator = entry.indexOf('=');
			if (separator > 0) {
				add(millis, entry.substring(0, separator), number(entry.substring(separator + 1)));
			}
		}
		boolean service = line.decision().equals("service-times");
		long explained = millis.values().stream().mapToLong(Long::longValue).sum();
		long wall = service ? explained : fields.path("wall").asLong();
		add(millis, UNEXPLAINED, wall - explained);
		String state = service ? "RUNNING" : fields.path("state").asText();
		boolean late = service || fields.path("late").asBoolean() || state.equals("FAILED");
		return new LateJob(line.subject(), fields.path("queue").asText("?"), state, late, wall,
				fields.path("mcores").asLong(), fields.path("time").asLong(), fields.path("tail").asLong(), millis);
	}

	private static void add(Map<String, Long> millis, String cause, long time) {
		if (time > 0) {
			millis.merge(cause, time, Long::sum);
		}
	}

	private static long number(String text) {
		try {
			return Long.parseLong(text);
		}
		catch (NumberFormatException ex) {
			// A damaged value counts as unexplained time.
			return 0;
		}
	}

	/**
	 * Returns the job with its time under earlier leaders divided as their last line
	 * tells.
	 * @param earlier what the last line of an earlier leader tells
	 * @return the job
	 */
	LateJob after(LateJob earlier) {
		Map<String, Long> combined = new LinkedHashMap<>(earlier.millis);
		long untold = Math.max(0, this.millis.getOrDefault(EARLIER_TERM, 0L) - earlier.wallMillis);
		this.millis.forEach((cause, time) -> add(combined, cause, cause.equals(EARLIER_TERM) ? untold : time));
		return new LateJob(this.id, this.queue, this.state, this.late, this.wallMillis, this.milliCores, this.loggedAt,
				this.tailMillis + earlier.tailMillis, combined);
	}

	/**
	 * Returns when the leader that wrote the line took over the job.
	 * @return the time in milliseconds since 1970
	 */
	long takenOverAt() {
		return acceptedAt() + this.millis.getOrDefault(EARLIER_TERM, 0L);
	}

	boolean active() {
		return this.state.equals("RUNNING");
	}

	/**
	 * Returns the job with the time without a leader as a cause of its own.
	 * @param time the time without a leader while the job was active, in milliseconds
	 * @return the job
	 */
	LateJob withoutLeaderFor(long time) {
		Map<String, Long> split = new LinkedHashMap<>(this.millis);
		long part = Math.min(time, split.getOrDefault(EARLIER_TERM, 0L));
		add(split, "no-leader", part);
		split.computeIfPresent(EARLIER_TERM, (cause, all) -> all - part);
		return new LateJob(this.id, this.queue, this.state, this.late, this.wallMillis, this.milliCores, this.loggedAt,
				this.tailMillis, split);
	}

	long acceptedAt() {
		return this.loggedAt - this.wallMillis;
	}

	static boolean lost(String cause) {
		return !WORK.contains(cause);
	}

	long lostMillis() {
		return this.millis.entrySet()
			.stream()
			.filter((entry) -> lost(entry.getKey()))
			.mapToLong(Map.Entry::getValue)
			.sum();
	}

}
