package review3;

import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback: the store, minions, and the deployed program as separate
 * processes. Writes what was sent, answered and run to a record.
 */
final class World implements AutoCloseable {

	static final String SERVICE = "prep1";

	static final String HOST = "q1.example";

	static final String PREFIX = "/q1a/";

	final Store store;

	final List<Node> nodes = new ArrayList<>();

	final List<Minion> minions = new ArrayList<>();

	final Map<String, JobSpec> jobs = new ConcurrentHashMap<>();

	private final PrintWriter record;

	private final long startedAt = System.nanoTime();

	private final java.util.Random random = new java.util.Random(64);

	private volatile int nextNode;

	/** The tails of the tasks that serve, as a share of their targets. */
	volatile double tailShare = 0.4;

	/** When each task has started, in milliseconds of this world. */
	final Map<String, List<Long>> starts = new ConcurrentHashMap<>();

	final Gangs gangs = new Gangs();

	/** The checkpoints that the starts of a step carried, by step and run, and task. */
	final Map<String, Map<String, String>> carried = new ConcurrentHashMap<>();

	/** The share of the orders that are left unanswered and carried out late. */
	volatile double lateShare;

	private final Map<String, String> runningOn = new ConcurrentHashMap<>();

	private final Map<String, Long> doneAt = new ConcurrentHashMap<>();

	private final Map<String, Long> noted = new ConcurrentHashMap<>();

	/** The tasks that started after an end `done`, and where. */
	private final Map<String, String> afterDone = new ConcurrentHashMap<>();

	private final List<String> twice = java.util.Collections.synchronizedList(new ArrayList<>());

	/** Returns the cases in which a task ran twice. */
	List<String> ranTwice() {
		List<String> found = new ArrayList<>(this.twice);
		this.afterDone.forEach((task, start) -> {
			if (this.noted.containsKey(task)) {
				found.add(task + " started on " + start + " after an end 'done' that is taken note of");
			}
		});
		return found;
	}

	/** When each task was last lost with its minion. */
	final Map<String, Long> lostAt = new ConcurrentHashMap<>();

	private final Path folder;

	private final List<String> command;

	/** The jobs of which a run has ended `failed`. */
	final Map<String, Integer> failedRuns = new ConcurrentHashMap<>();

	/** The runs of each task that were lost with their minion. */
	final Map<String, Integer> crashedRuns = new ConcurrentHashMap<>();

	World(Path record) throws IOException {
		this.record = new PrintWriter(Files.newBufferedWriter(record), true);
		this.folder = Files.createTempDirectory("review3-");
		Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
		if (!run.find()) {
			throw new IOException("deploy/system.toml has no line 'run'");
		}
		this.command = Arrays.asList(run.group(1).split(" "));
		this.store = new Store();
		Runtime.getRuntime().addShutdownHook(new Thread(this::close));
	}

	/** Runs a case; an error of the stand-ins means that it couldn't run. */
	static int run(Path record, Case body) {
		try (World world = new World(record)) {
			try {
				world.configure(7);
				return body.run(world);
			}
			catch (Exception ex) {
				world.note("the case could not run: " + ex);
				return 2;
			}
		}
		catch (IOException ex) {
			return 2;
		}
	}

	/** Returns 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
	interface Case {

		int run(World world) throws Exception;

	}

	/** Starts minions and processes, and waits until these are ready. */
	boolean begin(int minionCount) throws IOException, InterruptedException {
		addMinions(minionCount, 64_000);
		addNodes(3);
		boolean ready = awaitReady(20_000);
		note(ready ? "all processes are ready" : "the processes were not ready");
		Thread.sleep(3000);
		return ready;
	}

	/**
	 * A step of a job.
	 *
	 * @param workMs how long a task works; 0 for tasks that last
	 */
	record Step(int count, long cpu, long memory, long workMs, Map<String, Object> more) {

		Map<String, Object> fields() {
			Map<String, Object> step = new LinkedHashMap<>();
			step.put("count", (long) this.count);
			step.put("cpu", this.cpu);
			step.put("mem-mb", this.memory);
			if (this.workMs > 0) {
				step.put("estimate-ms", this.workMs);
			}
			step.putAll(this.more);
			return step;
		}

		boolean lasts() {
			return this.workMs == 0;
		}

	}

	/** A job of a client. */
	record JobSpec(String id, String spec, List<Step> steps, long sentAt) {

		String body() {
			return Json.write(Map.of("spec", this.spec, "steps", this.steps.stream().map(Step::fields).toList()));
		}

		Step stepOf(String task) {
			return this.steps.get(Integer.parseInt(task.split("\\.")[2]));
		}

	}

	/** Adds a job that a client is about to send. */
	JobSpec job(Step... steps) {
		String id = String.format("%016x", this.random.nextLong());
		JobSpec job = new JobSpec(id, "spec of " + id, List.of(steps), millis());
		this.jobs.put(id, job);
		return job;
	}

	/** Hands a job in, and again as a client does that got no answer or 502 to 504. */
	int submit(JobSpec job) throws InterruptedException {
		int status = 0;
		for (int attempt = 0; attempt < 5; attempt++) {
			Node node = this.nodes.get(this.nextNode++ % this.nodes.size());
			status = call(node, "POST", job.id(), job.body()).status();
			note("POST " + job.id() + " at " + node.name + " -> " + status);
			if (status == 200) {
				return status;
			}
			Thread.sleep(1000);
		}
		return status;
	}

	/** Asks for a job's state, at the other nodes too if one gives no answer. */
	String state(JobSpec job) {
		for (int attempt = 0; attempt < 3; attempt++) {
			Node node = this.nodes.get(this.nextNode++ % this.nodes.size());
			Http.Answer answer = call(node, "GET", job.id(), "");
			note("GET " + job.id() + " at " + node.name + " -> " + answer.status() + " " + answer.body());
			if (answer.status() == 200) {
				return (String) Json.object(answer.body()).get("state");
			}
			if (answer.status() == 410) {
				return "410";
			}
		}
		return "no answer";
	}

	/** Returns the minion that runs a task now; {@code null} if none does. */
	Minion minionOf(String task) {
		return this.minions.stream().filter((minion) -> minion.runs(task)).findFirst().orElse(null);
	}

	static boolean trouble() {
		return !"0".equals(System.getenv("TROUBLE"));
	}

	long millis() {
		return (System.nanoTime() - this.startedAt) / 1_000_000;
	}

	void note(String line) {
		this.record.printf("%9.3f s  %s%n", millis() / 1000.0, line);
	}

	JobSpec jobOf(String task) {
		return this.jobs.get(task.substring(0, task.indexOf('.')));
	}

	/** Tells whether an order is to be left unanswered and carried out late. */
	boolean leavesUnanswered() {
		return Math.random() < this.lateShare;
	}

	/** Notes that `last-seen` has reached an end `done` of a task. */
	void noted(String task) {
		this.noted.put(task, millis());
	}

	void started(String task, long run, String minion, String checkpoint) {
		this.runningOn.merge(task, minion + " run " + run, (first, second) -> {
			this.twice.add(task + " runs on " + first + " and on " + second + " at the same time");
			return second;
		});
		if (this.doneAt.containsKey(task)) {
			this.afterDone.put(task, minion + " run " + run);
		}
		String gangRun = task.substring(0, task.lastIndexOf('.')) + " run " + run;
		this.carried.computeIfAbsent(gangRun, (key) -> new ConcurrentHashMap<>()).put(task, checkpoint);
		this.starts.computeIfAbsent(task, (name) -> new ArrayList<>()).add(millis());
		note("start " + task + " run " + run + " on " + minion
				+ (checkpoint.isEmpty() ? "" : " from checkpoint " + checkpoint));
	}

	void ended(String task, long run, String minion, String how) {
		this.runningOn.remove(task, minion + " run " + run);
		if (how.equals("done")) {
			this.doneAt.put(task, millis());
		}
		note("end " + task + " run " + run + " on " + minion + " " + how);
		if (how.equals("failed")) {
			this.failedRuns.merge(task.substring(0, task.indexOf('.')), 1, Integer::sum);
		}
	}

	void crashed(String task, long run, String minion) {
		this.runningOn.remove(task, minion + " run " + run);
		note("lost " + task + " run " + run + " on " + minion + ", which crashed");
		this.crashedRuns.merge(task, 1, Integer::sum);
		this.lostAt.put(task, millis());
	}

	/** Writes a configuration with one queue. */
	void configure(long version) {
		Map<String, Object> route = new LinkedHashMap<>();
		route.put("name", "r1");
		route.put("host", HOST);
		route.put("prefix", PREFIX);
		route.put("service", SERVICE);
		route.put("priority", 2L);
		route.put("max-attempts", 3L);
		route.put("stretch", 2.0);
		route.put("slo-ms", 1000L);
		Map<String, Object> body = new LinkedHashMap<>();
		body.put("version", version);
		body.put("routes", List.of(route));
		body.put("services", List.of(Map.of("name", SERVICE, "admission-check", true)));
		body.put("limits", Map.of());
		this.store.put("op/config", Json.write(body));
	}

	void addMinions(int count, long cpu) throws IOException {
		for (int i = 0; i < count; i++) {
			Minion minion = new Minion(this, "m" + (i + 1), "r" + (i / 6 + 1), cpu);
			this.minions.add(minion);
			minion.start();
		}
	}

	void addNodes(int count) throws IOException {
		for (int i = 0; i < count; i++) {
			Node node = new Node("edge-" + (i + 1));
			this.nodes.add(node);
			node.start();
		}
	}

	/** Waits until all processes are ready and a job can be handed in. */
	boolean awaitReady(long timeoutMs) throws InterruptedException {
		long until = millis() + timeoutMs;
		while (millis() < until) {
			if (this.nodes.stream()
				.allMatch((node) -> Http.call(node.ready, "GET", "x", "/lentilstream/readyz", "", 500).status() == 200)) {
				return true;
			}
			Thread.sleep(100);
		}
		return false;
	}

	Http.Answer call(Node node, String method, String id, String body) {
		return Http.call(node.front, method, HOST, PREFIX + id, body, 3000);
	}

	@Override
	public synchronized void close() {
		this.nodes.forEach(Node::kill);
		this.nodes.clear();
		this.record.close();
		File[] files = this.folder.toFile().listFiles();
		for (File file : (files != null) ? files : new File[0]) {
			file.delete();
		}
		this.folder.toFile().delete();
	}

	/** One process of the deployed program. */
	final class Node {

		final String name;

		final InetSocketAddress front = Http.freeAddress();

		final InetSocketAddress ready = Http.freeAddress();

		private final Path settings;

		private Process process;

		private boolean killed;

		/** The exits of the process that nobody asked for. */
		volatile int ownEnds;

		Node(String name) throws IOException {
			this.name = name;
			this.settings = World.this.folder.resolve(name + ".ini");
			String text = """
					[process]
					name = %s
					availability-zone = z1
					[listen]
					front = 127.0.0.1:%d
					readiness = 127.0.0.1:%d
					address = 127.0.0.1
					peer-port = %d
					metrics-port = %d
					[machine]
					core-share = 0.75
					cores = 1
					[store]
					address = 127.0.0.1:%d
					[jobs]
					max-lease-ms = 6000
					remote-factor = 1.5
					harm-ms = 4000
					heartbeat-ms = 1500
					keep-s = 120
					grace-s = 6
					""".formatted(name, this.front.getPort(), this.ready.getPort(), Http.freeAddress().getPort(),
					Http.freeAddress().getPort(), World.this.store.address.getPort());
			Files.writeString(this.settings, text);
		}

		synchronized void start() throws IOException {
			ProcessBuilder builder = new ProcessBuilder(World.this.command);
			builder.environment().put("LENTILSTREAM_SETTINGS", this.settings.toString());
			builder.redirectErrorStream(true)
				.redirectOutput(ProcessBuilder.Redirect
					.appendTo(World.this.folder.resolve(this.name + ".log").toFile()));
			this.process = builder.start();
			note("process " + this.name + " started");
			Process begun = this.process;
			begun.onExit().thenAccept((ended) -> exited(begun));
		}

		// As the platform does: a process that exits is started again after a short delay.
		private void exited(Process ended) {
			synchronized (this) {
				if (this.killed || ended != this.process) {
					return;
				}
				this.ownEnds++;
			}
			note("process " + this.name + " ended by itself, status " + ended.exitValue());
			Minion.TIMER.schedule(() -> {
				try {
					synchronized (this) {
						if (!this.killed) {
							start();
						}
					}
				}
				catch (IOException ex) {
					note("process " + this.name + " could not be started again: " + ex);
				}
			}, 500, TimeUnit.MILLISECONDS);
		}

		synchronized void kill() {
			this.killed = true;
			this.process.destroyForcibly();
			try {
				this.process.waitFor(5, TimeUnit.SECONDS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}

	}

}
