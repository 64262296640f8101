import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** What the clients have handed in, and what a task of it needs. */
final class Jobs {

	/** The size and behaviour of the tasks of a step. */
	static final class Step {

		int count = 1;

		long cpu = 1000;

		long memory = 256;

		long estimateMillis = 1000;

		/** The time that a task works for; 0 for a task that lasts. */
		long workMillis = 1000;

		boolean gang;

		boolean checkpointing;

		boolean lasting;

		int maxPerServer;

		String image = "";

		/** The target of a task that serves, in milliseconds; 0 for other tasks. */
		long targetMillis;


		List<Integer> after = new ArrayList<>();

		/** When a run of a task that lasts fails, if it is to fail, after its start. */
		long failAfterMillis;

		/** How much later the run of the next task fails. */
		long failEachMillis;

		/** The number of runs that end as failed, by the index of the task. */
		Map<Integer, Integer> failures = new ConcurrentHashMap<>();

		Step size(int tasks, long cpuMillis, long memoryMegabytes) {
			this.count = tasks;
			this.cpu = cpuMillis;
			this.memory = memoryMegabytes;
			return this;
		}

		Step work(long millis) {
			this.workMillis = millis;
			this.estimateMillis = millis;
			return this;
		}

		Step lasts() {
			this.lasting = true;
			this.workMillis = 0;
			return this;
		}

		Map<String, Object> body() {
			Map<String, Object> body = new LinkedHashMap<>();
			body.put("count", this.count);
			body.put("cpu", this.cpu);
			body.put("mem-mb", this.memory);
			body.put("estimate-ms", this.estimateMillis);
			if (this.gang) {
				body.put("gang", true);
			}
			if (this.checkpointing) {
				body.put("checkpointing", true);
			}
			if (this.lasting) {
				body.put("long-running", true);
			}
			if (!this.image.isEmpty()) {
				body.put("image", this.image);
			}
			if (this.targetMillis > 0) {
				body.put("target-ms", this.targetMillis);
			}
			if (this.maxPerServer > 0) {
				body.put("max-per-server", this.maxPerServer);
			}
			if (!this.after.isEmpty()) {
				body.put("after", this.after);
			}
			return body;
		}

	}

	/** A job. */
	static final class Job {

		final String id;

		final String queue;

		final String spec;

		final List<Step> steps;

		/** How often the steps run; 0 for once. */
		int repeats;

		long firstRunMillis;

		long intervalMillis;

		volatile long sentAt = -1;

		volatile long acceptedAt = -1;

		Job(String id, String queue, String spec, List<Step> steps) {
			this.id = id;
			this.queue = queue;
			this.spec = spec;
			this.steps = steps;
		}

		String body() {
			Map<String, Object> body = new LinkedHashMap<>();
			body.put("spec", this.spec);
			body.put("steps", this.steps.stream().map(Step::body).toList());
			if (this.repeats > 0) {
				body.put("repeats", this.repeats);
				body.put("first-run-ms", this.firstRunMillis);
				body.put("interval-ms", this.intervalMillis);
			}
			return Json.write(body);
		}

		int tasks() {
			return this.steps.stream().mapToInt((step) -> step.count).sum();
		}

	}

	private static final Map<String, Job> JOBS = new ConcurrentHashMap<>();

	private static int made;

	private Jobs() {
	}

	static synchronized Job create(String queue, Step... steps) {
		String id = String.format("%016x", 0x5c0e000000000000L + (++made) * 0x10001L);
		Job job = new Job(id, queue, "job " + made, List.of(steps));
		JOBS.put(id, job);
		return job;
	}

	/** The step of a task named ID.K.STEP.INDEX, or {@code null}. */
	static Step step(String task) {
		String[] parts = task.split("\\.");
		Job job = JOBS.get(parts[0]);
		int number = Integer.parseInt(parts[2]);
		return (job != null && number < job.steps.size()) ? job.steps.get(number) : null;
	}

	static int index(String task) {
		return Integer.parseInt(task.substring(task.lastIndexOf('.') + 1));
	}

}
