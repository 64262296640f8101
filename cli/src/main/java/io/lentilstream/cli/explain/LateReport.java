package io.lentilstream.cli.explain;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * A report on where the time of late jobs went, who was refused and who had the room
 * meanwhile, from the summary lines of all processes.
 */
final class LateReport {

	private static final int TENTHS = 10;

	private static final long SECOND_MILLIS = 1000;

	private static final double CORE = 1000;

	private static final double PERCENT = 100;

	private static final Set<String> DECISIONS = Set.of("job-times", "service-times", "room", "load", "job-submitted",
			"job-refused", "term-begun");

	/** The jobs by id and occurrence. */
	private final Map<String, JobTerms> jobs = new LinkedHashMap<>();

	private final List<LateJob> services = new ArrayList<>();

	private final Map<String, String> zones = new HashMap<>();

	private final Map<String, String> queues = new HashMap<>();

	private final TreeMap<String, Integer> refusals = new TreeMap<>();

	private final TreeMap<Long, TreeMap<String, String>> rooms = new TreeMap<>();

	private final LeaderGaps gaps = new LeaderGaps();

	private long firstMillis = Long.MAX_VALUE;

	/**
	 * Tells whether a line of a log may be of use, without parsing it.
	 * @param text the line
	 * @return {@code false} if it can be skipped
	 */
	static boolean mayConcern(String text) {
		return DECISIONS.stream().anyMatch((decision) -> text.contains('"' + decision + '"'));
	}

	void add(DecisionLine line) {
		long time = line.fields().path("time").asLong();
		if (line.decision().equals("load")) {
			this.gaps.leaderSeen(time);
		}
		switch (line.decision()) {
			case "job-times" ->
				this.jobs
					.computeIfAbsent(line.subject() + "." + line.fields().path("occurrence").asInt(),
							(key) -> new JobTerms())
					.add(LateJob.of(line));
			case "service-times" -> this.services.add(LateJob.of(line));
			case "job-submitted", "job-refused" -> addSubmission(line, time);
			case "room" -> this.rooms.computeIfAbsent(time / SECOND_MILLIS, (second) -> new TreeMap<>())
				.put(line.subject(), roomText(line));
			case "term-begun" -> this.gaps.termBegun(time);
			case "load" -> this.rooms.computeIfAbsent(time / SECOND_MILLIS, (second) -> new TreeMap<>())
				.put("", String.format(Locale.ROOT, "%d VMs, %.0f cores", line.fields().path("usable").asInt(),
						line.fields().path("capacity-mcores").asLong() / CORE));
			default -> {
			}
		}
	}

	private void addSubmission(DecisionLine line, long time) {
		this.firstMillis = Math.min(this.firstMillis, time);
		String queue = line.fields().path("queue").asText("?");
		String outcome = line.fields().path("outcome").asText();
		if (outcome.equals("STORED")) {
			this.zones.put(line.subject(), zone(line.node()));
			this.queues.put(line.subject(), queue);
			return;
		}
		String word = line.fields().path("reason").asText("store did not confirm");
		this.refusals.merge(queue + "  " + zone(line.node()) + "  " + outcome + "  " + word, 1, Integer::sum);
	}

	// Names of entry VMs end in a number within their zone.
	private static String zone(String node) {
		return node.replaceFirst("-\\d+$", "");
	}

	private static String roomText(DecisionLine line) {
		return String.format(Locale.ROOT, "%.0f runs (%.0f paced), %.0f waits, oldest %d ms",
				line.fields().path("running-mcores").asLong() / CORE,
				line.fields().path("paced-mcores").asLong() / CORE,
				line.fields().path("waiting-mcores").asLong() / CORE, line.fields().path("oldest").asLong());
	}

	boolean empty() {
		return this.jobs.isEmpty() && this.services.isEmpty() && this.queues.isEmpty() && this.refusals.isEmpty();
	}

	/**
	 * Returns the table of the jobs that ended.
	 * @param group the name of the groups
	 * @param key returns the group of a job
	 * @return the table
	 */
	CauseTable endedBy(String group, Function<LateJob, String> key) {
		return table(group, endedJobs(), key);
	}

	private List<LateJob> endedJobs() {
		return this.jobs.values()
			.stream()
			.map(JobTerms::combined)
			.filter((job) -> !job.active())
			.map((job) -> job.withoutLeaderFor(this.gaps.within(job.acceptedAt(), job.loggedAt())))
			.toList();
	}

	CauseTable servicesBy(String group, Function<LateJob, String> key) {
		return table(group, this.services, key);
	}

	private static CauseTable table(String group, List<LateJob> jobs, Function<LateJob, String> key) {
		CauseTable table = new CauseTable(group);
		jobs.forEach((job) -> table.add(key.apply(job), job));
		return table;
	}

	String zoneOf(LateJob job) {
		return this.zones.getOrDefault(job.id(), "unknown");
	}

	private String second(LateJob job) {
		return String.format(Locale.ROOT, "%4d", (job.loggedAt() - start()) / SECOND_MILLIS);
	}

	private long start() {
		return (this.firstMillis == Long.MAX_VALUE) ? 0 : this.firstMillis;
	}

	void print(PrintStream out) {
		CauseTable byQueue = endedBy("queue", LateJob::queue);
		out.printf(Locale.ROOT, "Jobs that ended, and the time that the late and failed ones lost: %.1f%% explained%n",
				PERCENT * byQueue.explainedShare());
		byQueue.print(out);
		printGroups(out, endedJobs());
		out.println("Long-running jobs, in task-seconds; a line for each job and second with a loss");
		servicesBy("queue", LateJob::queue).print(out);
		printGroups(out, this.services);
		out.println("Refused or not confirmed: queue, zone, outcome, word, times");
		this.refusals.forEach((key, count) -> out.println(key + "  " + count));
		printWithoutEnd(out);
		out.println("\nWho had the room (cores, by second and queue)");
		this.rooms.forEach((second, queuesRoom) -> out
			.println(String.format(Locale.ROOT, "%4d ", second - start() / SECOND_MILLIS) + queuesRoom));
		out.println("\nEach late or failed job: id, queue, zone, state, wall ms, lost ms, times in ms");
		endedJobs().stream()
			.filter(LateJob::late)
			.sorted(Comparator.comparingLong(LateJob::lostMillis).reversed())
			.forEach((job) -> out.println(job.id() + " " + job.queue() + " " + zoneOf(job) + " " + job.state() + " "
					+ job.wallMillis() + " " + job.lostMillis() + " " + job.millis() + " tail=" + job.tailMillis()));
	}

	private void printGroups(PrintStream out, List<LateJob> jobs) {
		table("zone of the client", jobs, this::zoneOf).print(out);
		table("queue and tenth by size", jobs, tenths(jobs)).print(out);
		table("second", jobs, this::second).print(out);
	}

	private static Function<LateJob, String> tenths(List<LateJob> jobs) {
		Map<String, List<Long>> sizes = new HashMap<>();
		jobs.forEach((job) -> sizes.computeIfAbsent(job.queue(), (queue) -> new ArrayList<>()).add(job.milliCores()));
		sizes.values().forEach((list) -> list.sort(null));
		return (job) -> {
			List<Long> sorted = sizes.get(job.queue());
			long smaller = sorted.stream().filter((size) -> size < job.milliCores()).count();
			return job.queue() + " " + String.format("%2d", 1 + smaller * TENTHS / sorted.size());
		};
	}

	private void printWithoutEnd(PrintStream out) {
		Map<String, Integer> counts = new TreeMap<>();
		Set<String> ended = endedJobs().stream().map(LateJob::id).collect(Collectors.toSet());
		Set<String> serviceIds = this.services.stream().map(LateJob::id).collect(Collectors.toSet());
		this.queues.forEach((id, queue) -> {
			if (!serviceIds.contains(id) && !ended.contains(id)) {
				counts.merge(queue, 1, Integer::sum);
			}
		});
		out.println("Stored, but without a line of their end or of a loss: " + counts);
	}

}
