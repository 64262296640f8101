package review2;

import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A process of the system, with the command of the deploy file and the settings that its
 * template yields.
 */
final class Node {

	private static final int MIN_PORT = 12_000;

	private static final int MAX_PORT = 32_000;

	private static final Set<Integer> DRAWN = ConcurrentHashMap.newKeySet();

	private static final HttpClient CLIENT = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(Duration.ofSeconds(2))
		.build();

	final String name;

	final int front = freePort();

	private final int ready = freePort();

	private final int peer = freePort();

	private final int metrics = freePort();

	private final Path folder;

	private final Map<String, String> values;

	private Process process;

	private int starts;

	Node(String name, Path folder, int storePort, Map<String, String> changed) {
		this.name = name;
		this.folder = folder;
		this.values = new HashMap<>(Map.of("node", name, "zone", "depot", "ip", Server.HOST, "listen.front",
				Server.HOST + ":" + this.front, "listen.ready", Server.HOST + ":" + this.ready, "port-range.0",
				String.valueOf(this.peer), "port-range.1", String.valueOf(this.metrics), "limits.cpu-share", "0.75",
				"limits.cores", "1"));
		this.values.putAll(Map.of("platform.address", Server.HOST + ":" + storePort, "bounds.max-hold-ms", "6000",
				"bounds.remote-factor", "3", "bounds.harm-ms", "4000", "heartbeat-ms", "1100", "bounds.status_s",
				"120", "bounds.grace-s", "6"));
		this.values.putAll(changed);
	}

	/**
	 * Draws a free port below the range of outgoing connections, which could take it before
	 * the process listens.
	 */
	static int freePort() {
		while (true) {
			int port = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
			try (ServerSocket socket = new ServerSocket()) {
				socket.bind(new InetSocketAddress(Server.HOST, port));
				if (DRAWN.add(port)) {
					return port;
				}
			}
			catch (IOException ex) {
				// It is taken.
			}
		}
	}

	void start() throws IOException {
		Path settings = this.folder.resolve(this.name + ".ini");
		Matcher placeholders = Pattern.compile("\\{\\{([^}]*)\\}\\}")
			.matcher(Files.readString(Path.of("platform/node.ini.template")));
		Files.writeString(settings, placeholders
			.replaceAll((found) -> Matcher.quoteReplacement(this.values.getOrDefault(found.group(1), ""))));
		List<String> command = new ArrayList<>();
		for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
			if (line.startsWith("run = \"")) {
				command.addAll(List.of(line.substring("run = \"".length(), line.lastIndexOf('"')).split(" ")));
			}
		}
		ProcessBuilder builder = new ProcessBuilder(command);
		builder.environment().put("LENTILSTREAM_SETTINGS", settings.toString());
		builder.redirectErrorStream(true);
		builder.redirectOutput(log().toFile());
		this.process = builder.start();
	}

	Path log() {
		return this.folder.resolve(this.name + "-" + this.starts + ".log");
	}

	/**
	 * Starts the process again, as the platform does after an end.
	 */
	void restart() throws IOException {
		this.starts++;
		start();
	}

	boolean alive() {
		return this.process != null && this.process.isAlive();
	}

	long pid() {
		return this.process.pid();
	}

	int exitValue() {
		return this.process.exitValue();
	}

	void kill() throws InterruptedException {
		if (this.process != null) {
			this.process.destroyForcibly();
			this.process.waitFor(5, TimeUnit.SECONDS);
		}
	}

	void signal(String signal) throws IOException, InterruptedException {
		new ProcessBuilder("kill", "-" + signal, String.valueOf(this.process.pid())).start().waitFor();
	}

	boolean isReady() {
		return call(this.ready, "GET", "", "/lentilstream/readyz", "", 1000).status() == 200;
	}

	Answer call(String method, String host, String path, String body, int timeoutMillis) {
		return call(this.front, method, host, path, body, timeoutMillis);
	}

	static Answer call(int port, String method, String host, String path, String body, int timeoutMillis) {
		HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + Server.HOST + ":" + port + path))
			.timeout(Duration.ofMillis(timeoutMillis))
			.header("Content-Type", "application/json")
			.method(method, body.isEmpty() ? HttpRequest.BodyPublishers.noBody()
					: HttpRequest.BodyPublishers.ofString(body));
		if (!host.isEmpty()) {
			request.header("Host", host);
			request.header("Deadline-Ms", String.valueOf(timeoutMillis));
		}
		try {
			HttpResponse<String> response = CLIENT.send(request.build(), HttpResponse.BodyHandlers.ofString());
			return new Answer(response.statusCode(), response.body());
		}
		catch (IOException | InterruptedException ex) {
			return new Answer(0, String.valueOf(ex.getMessage()));
		}
	}

	String lastLines(int count) throws IOException {
		File file = log().toFile();
		List<String> lines = file.exists() ? Files.readAllLines(file.toPath()) : List.of();
		return String.join("\n", lines.subList(Math.max(0, lines.size() - count), lines.size()));
	}

	/**
	 * An answer to a client; status 0 if there was none.
	 */
	record Answer(int status, String body) {
	}

}
