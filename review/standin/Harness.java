import java.io.IOException;
import java.net.BindException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Starts the project's processes with the command and the template of the deploy file,
 * and the stand-ins around them, all on the loopback address.
 */
final class Harness {

	/** The outcomes of a case. */
	static final int HELD = 0;

	static final int BROKEN = 1;

	static final int NOT_RUN = 2;

	static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

	private static final long LIMIT_MILLIS = 112_000;

	private static final int FIRST_PORT = 14_000;

	private static final int LAST_PORT = 32_000;

	private static final String HOST = "127.0.0.1";

	final Store store;

	final List<Node> nodes = new ArrayList<>();

	final List<Minion> minions = new ArrayList<>();

	private final Path folder;

	private final HttpClient client = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(Duration.ofMillis(1000))
		.build();

	/** A process of the system. */
	final class Node {

		final String name;

		final int front = freePort();

		final int ready = freePort();

		final int peer = freePort();

		final int metrics = freePort();

		/** The way of this process to the store. */
		final Store.Door door;

		private Process process;

		private int starts;

		Node(String name) throws IOException {
			this.name = name;
			this.door = Harness.this.store.new Door();
		}

		void start() throws IOException {
			Map<String, String> values = new HashMap<>();
			values.put("node", this.name);
			values.put("zone", "depot");
			values.put("ip", "127.0.0.1");
			values.put("listen.front", "127.0.0.1:" + this.front);
			values.put("listen.ready", "127.0.0.1:" + this.ready);
			values.put("port-range.0", String.valueOf(this.peer));
			values.put("port-range.1", String.valueOf(this.metrics));
			values.put("limits.cpu-share", "0.75");
			values.put("limits.cores", "1");
			values.put("platform.address", "127.0.0.1:" + this.door.server.port());
			values.put("bounds.max-hold-ms", String.valueOf(Minion.MAX_HOLD_MILLIS));
			values.put("bounds.remote-factor", "3");
			values.put("bounds.harm-ms", "4000");
			values.put("heartbeat-ms", "1100");
			values.put("bounds.status_s", "120");
			values.put("bounds.grace-s", "6");
			String template = Files.readString(Path.of("platform/node.ini.template"));
			Matcher matcher = Pattern.compile("\\{\\{([^}]*)\\}\\}").matcher(template);
			String settings = matcher.replaceAll((found) -> Matcher.quoteReplacement(values.get(found.group(1))));
			Path file = Harness.this.folder.resolve(this.name + ".ini");
			Files.writeString(file, settings);
			ProcessBuilder builder = new ProcessBuilder(command());
			builder.environment().put("LENTILSTREAM_SETTINGS", file.toString());
			builder.redirectErrorStream(true);
			builder.redirectOutput(Harness.this.folder.resolve(this.name + "-" + (++this.starts) + ".log").toFile());
			this.process = builder.start();
			Record.line(this.name + " is started");
		}

		private void signal(String signal) throws IOException, InterruptedException {
			Record.line(this.name + " gets SIG" + signal);
			new ProcessBuilder("kill", "-" + signal, String.valueOf(this.process.pid())).start().waitFor();
		}

		void kill() throws IOException, InterruptedException {
			signal("KILL");
			this.process.waitFor();
		}

		void terminate() throws IOException, InterruptedException {
			signal("TERM");
		}

		boolean alive() {
			return this.process != null && this.process.isAlive();
		}

		int exitStatus() {
			return this.process.isAlive() ? -1 : this.process.exitValue();
		}

		boolean isReady() {
			try {
				return call("GET", this.ready, "/lentilstream/readyz", "", 1000).statusCode() == 200;
			}
			catch (IOException | InterruptedException ex) {
				return false;
			}
		}

	}

	Harness(int valueBytes) throws IOException {
		this.folder = Files.createTempDirectory("review");
		this.store = new Store(valueBytes);
		Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
		Thread watchdog = new Thread(() -> {
			try {
				Thread.sleep(LIMIT_MILLIS);
			}
			catch (InterruptedException ex) {
				return;
			}
			finish(NOT_RUN, "the time is up");
		}, "watchdog");
		watchdog.setDaemon(true);
		watchdog.start();
	}

	/** The part of a case that differs from the others. */
	interface Body {

		void run(Harness harness) throws Exception;

	}

	/** Runs a case; one that can't run ends with the status for that. */
	static void play(String[] arguments, Body body) {
		try {
			Record.open(Path.of(arguments[0]));
			body.run(new Harness(1 << 20));
		}
		catch (Exception | Error ex) {
			Record.line("not run: " + ex);
			Record.close();
			ex.printStackTrace();
			System.exit(NOT_RUN);
		}
	}

	private void endAll() {
		for (Node node : this.nodes) {
			if (node.process != null) {
				node.process.destroyForcibly();
			}
		}
		try {
			for (Node node : this.nodes) {
				if (node.process != null) {
					node.process.waitFor(2, TimeUnit.SECONDS);
				}
			}
			String keep = System.getenv("KEEP_LOGS");
			try (var files = Files.list(this.folder)) {
				for (Path file : files.toList()) {
					if (keep != null) {
						Files.createDirectories(Path.of(keep));
						Files.copy(file, Path.of(keep).resolve(file.getFileName()),
								java.nio.file.StandardCopyOption.REPLACE_EXISTING);
					}
					Files.delete(file);
				}
			}
			Files.delete(this.folder);
		}
		catch (IOException | InterruptedException ex) {
			// The folder stays.
		}
	}

	void finish(int status, String verdict) {
		Record.line("verdict: " + verdict);
		Record.close();
		System.out.println(((status == BROKEN) ? "broken: " : (status == HELD) ? "held: " : "not run: ") + verdict);
		System.exit(status);
	}

	/** The command of the deploy file. */
	private static List<String> command() throws IOException {
		for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
			if (line.startsWith("run = \"")) {
				return List.of(line.substring("run = \"".length(), line.lastIndexOf('"')).split(" "));
			}
		}
		throw new IOException("no run line in the deploy file");
	}

	// Below the usual range of the ports of outgoing connections, so that none of these
	// takes the port before the process listens on it.
	private static int freePort() throws IOException {
		for (int attempt = 0; attempt < 100; attempt++) {
			int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
			try (ServerSocket socket = new ServerSocket(port)) {
				return socket.getLocalPort();
			}
			catch (BindException ex) {
				// In use; tries another one.
			}
		}
		throw new IOException("no free port");
	}

	/** Writes the configuration: one service, and a queue for each prefix given. */
	void configure(String service, Map<String, Integer> attemptsByPrefix) {
		configure(service, attemptsByPrefix, Map.of());
	}

	void configure(String service, Map<String, Integer> attemptsByPrefix, Map<String, Integer> priorities) {
		List<Object> routes = new ArrayList<>();
		attemptsByPrefix.forEach((prefix, attempts) -> routes.add(Json.map("name", "r-" + prefix, "host", HOST,
				"prefix", "/" + prefix + "/", "kind", "unsafe", "timeout-ms", 3000, "slo-ms", 1000, "priority",
				priorities.getOrDefault(prefix, 0), "service", service, "max-attempts", attempts, "stretch", 2.0)));
		this.store.put("op/config", Json.write(Json.map("version", 7, "routes", routes, "services",
				List.of(Json.map("name", service, "health-path", "/healthz", "max-conns", 64, "protocol", "h1", "tls",
						false, "admission-check", true, "standby", false)),
				"limits", Json.map("max-header-bytes", 16384, "max-body-bytes", 262144, "header-timeout-ms", 3000,
						"idle-timeout-ms", 15000))));
	}

	void startNodes(int count) throws IOException, InterruptedException {
		for (int i = 1; i <= count; i++) {
			Node node = new Node("edge-" + i);
			this.nodes.add(node);
			node.start();
		}
		long until = Record.now() + 30_000;
		for (Node node : this.nodes) {
			while (!node.isReady()) {
				if (Record.now() > until || !node.alive()) {
					finish(NOT_RUN, node.name + " is not ready");
				}
				Thread.sleep(50);
			}
		}
		Record.line("all nodes are ready");
	}

	/** The node that gave the latest order, by the leader's item in the store. */
	Node leader() {
		byte[] item = this.store.read("lentilstream/leader");
		if (item != null) {
			String text = new String(item, StandardCharsets.ISO_8859_1);
			for (Node node : this.nodes) {
				if (text.contains(node.name)) {
					return node;
				}
			}
		}
		return null;
	}

	/** The revision at which the leader's item was created. */
	long leaderToken() {
		return this.store.created("lentilstream/leader");
	}

	Node awaitLeader() throws InterruptedException {
		long until = Record.now() + 20_000;
		while (leader() == null) {
			if (Record.now() > until) {
				finish(NOT_RUN, "no leader");
			}
			Thread.sleep(20);
		}
		Record.line(leader().name + " leads");
		return leader();
	}

	private HttpResponse<String> call(String method, int port, String path, String body, long timeoutMillis)
			throws IOException, InterruptedException {
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
			.timeout(Duration.ofMillis(timeoutMillis))
			.header("Content-Type", "application/json")
			.method(method, body.isEmpty() ? HttpRequest.BodyPublishers.noBody()
					: HttpRequest.BodyPublishers.ofString(body))
			.build();
		return this.client.send(request, HttpResponse.BodyHandlers.ofString());
	}

	/**
	 * Calls a node as a client; returns the status, or 0 if there was no answer.
	 */
	HttpResponse<String> ask(Node node, String method, String path, String body) throws InterruptedException {
		try {
			return call(method, node.front, path, body, 3000);
		}
		catch (IOException ex) {
			return null;
		}
	}

	/** Hands a job in; tries again for up to 10 s, as clients do. */
	boolean submit(Jobs.Job job) throws InterruptedException {
		job.sentAt = Record.now();
		int attempt = 0;
		while (Record.now() - job.sentAt < 10_000) {
			Node node = this.nodes.get((attempt + job.id.hashCode() & 0xff) % this.nodes.size());
			attempt++;
			HttpResponse<String> response = node.alive() ? ask(node, "POST", "/" + job.queue + "/" + job.id, job.body())
					: null;
			int status = (response != null) ? response.statusCode() : 0;
			Record.line("job " + job.id + " (" + job.tasks() + " tasks, queue " + job.queue + ") to " + node.name
					+ ": " + status);
			if (status / 100 == 2) {
				job.acceptedAt = Record.now();
				return true;
			}
			Thread.sleep(250);
		}
		return false;
	}

	/** The state that is shown of a job, or what was answered instead. */
	String state(Jobs.Job job) throws InterruptedException {
		for (int attempt = 0; attempt < this.nodes.size(); attempt++) {
			Node node = this.nodes.get(attempt);
			HttpResponse<String> response = node.alive() ? ask(node, "GET", "/" + job.queue + "/" + job.id, "") : null;
			if (response != null && response.statusCode() == 200) {
				return Json.text(Json.object(response.body()), "state", "?");
			}
			if (response != null && response.statusCode() == 410) {
				return "410";
			}
		}
		return "no answer";
	}

	/** Waits until a job is shown in an end state; returns the last state shown. */
	String awaitEnd(Jobs.Job job, long untilMillis) throws InterruptedException {
		String state = "";
		while (Record.now() < untilMillis) {
			state = state(job);
			if (state.equals("completed") || state.equals("failed") || state.equals("cancelled")) {
				break;
			}
			Thread.sleep(100);
		}
		Record.line("job " + job.id + " is shown as " + state);
		return state;
	}

	/**
	 * Checks the rule TWICE on all runs so far; returns what breaks it. The waits for
	 * ends to be taken note of are the caller's.
	 */
	static List<String> twice() {
		List<String> broken = new ArrayList<>();
		Map<String, List<Minion.Run>> byTask = new HashMap<>();
		for (Minion.Run run : Minion.runsSoFar()) {
			byTask.computeIfAbsent(run.task, (task) -> new ArrayList<>()).add(run);
		}
		byTask.forEach((task, runs) -> {
			for (Minion.Run earlier : runs) {
				for (Minion.Run later : runs) {
					if (earlier == later || later.startedAt < earlier.startedAt
							|| runs.indexOf(later) < runs.indexOf(earlier)) {
						continue;
					}
					boolean together = earlier.endedAt < 0 || later.startedAt < earlier.endedAt;
					if (together) {
						broken.add(task + ": run " + earlier.number + " on " + earlier.minion.id + " and run "
								+ later.number + " on " + later.minion.id + " at the same time");
					}
					else if (earlier.how.equals("done") && earlier.notedAt >= 0 && !earlier.lapsedBefore) {
						broken.add(String.format("%s: run %d on %s ended done at %.3f (noted at %.3f), run %d started"
								+ " on %s at %.3f", task, earlier.number, earlier.minion.id, earlier.endedAt / 1000.0,
								earlier.notedAt / 1000.0, later.number, later.minion.id, later.startedAt / 1000.0));
					}
				}
			}
		});
		return broken;
	}

}
