package review2;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * A small deployment: a store, minions and processes of the system. All processes end with
 * it.
 */
final class Deployment implements AutoCloseable {

	static final String HOST = "queue.example";

	static final String PREFIX = "/pay/";

	final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

	final Path folder;

	final Record record;

	final Store store = new Store();

	final List<Minion> minions = new ArrayList<>();

	final List<Node> nodes = new ArrayList<>();

	private boolean closed;

	Deployment(Path recordFile) throws IOException {
		this.folder = Files.createTempDirectory("review");
		this.record = new Record(recordFile);
		Runtime.getRuntime().addShutdownHook(new Thread(this::close));
	}

	/**
	 * Writes a configuration like the operator.
	 * @param extraRoutes names of routes beside that of the queue
	 */
	void configure(int version, List<String> extraRoutes) {
		StringBuilder routes = new StringBuilder(route("r-pay", HOST, PREFIX));
		for (String name : extraRoutes) {
			routes.append(',').append(route("r-" + name, name + ".example", "/" + name + "/"));
		}
		this.store.put("op/config",
				"{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[{\"name\":\"ash-collect\","
						+ "\"health-path\":\"/healthz\",\"max-conns\":64,\"protocol\":\"h1\",\"tls\":false,"
						+ "\"admission-check\":true,\"standby\":false}],\"limits\":{\"max-header-bytes\":16384,"
						+ "\"max-body-bytes\":262144,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}");
		this.record.line("config version " + version + " acknowledged, " + (extraRoutes.size() + 1) + " routes");
	}

	private static String route(String name, String host, String prefix) {
		return "{\"name\":\"" + name + "\",\"host\":\"" + host + "\",\"prefix\":\"" + prefix
				+ "\",\"kind\":\"unsafe\",\"timeout-ms\":3000,\"slo-ms\":1000,\"priority\":2,"
				+ "\"service\":\"ash-collect\",\"max-attempts\":3,\"stretch\":2.0}";
	}

	void addMinions(int count) {
		for (int i = 0; i < count; i++) {
			Minion minion = new Minion(this.store, this.record, "i-" + i + "-0", "ash-collect", "r1-" + i % 4, 32_000);
			minion.start("i-" + i + "-0");
			this.minions.add(minion);
		}
	}

	Node addNode(String name, int storePort, Map<String, String> settings) throws IOException {
		Node node = new Node(name, this.folder, storePort, settings);
		this.nodes.add(node);
		node.start();
		this.record.line("started " + name);
		return node;
	}

	/**
	 * Waits until all processes take requests.
	 * @throws Unable if they do not
	 */
	void awaitReady() throws InterruptedException {
		long until = Store.millis() + 30_000;
		while (!this.nodes.stream().allMatch(Node::isReady)) {
			if (Store.millis() > until) {
				throw new Unable("the processes did not become ready");
			}
			Thread.sleep(100);
		}
		this.record.line("all processes are ready");
	}

	Node leader() throws IOException {
		byte[] item = this.store.get("lentilstream/leader");
		for (Node node : this.nodes) {
			// The first field of the item is the name of the process.
			if (item != null && new String(item, 1, Math.min(node.name.length(), item.length - 1),
					java.nio.charset.StandardCharsets.US_ASCII).equals(node.name)) {
				return node;
			}
		}
		return null;
	}

	Node.Answer call(Node node, String method, String host, String path, String body) {
		Node.Answer answer = node.call(method, host, path, body, 3000);
		this.record.line("call  " + method + " " + host + path + " at " + node.name + " -> "
				+ ((answer.status() == 0) ? "no answer" : answer.status() + " " + answer.body()));
		return answer;
	}

	static String job(String spec, int count, int cpu, long estimate, String more) {
		return "{\"spec\":\"" + spec + "\",\"steps\":[{\"count\":" + count + ",\"cpu\":" + cpu
				+ ",\"mem-mb\":100,\"estimate-ms\":" + estimate + more + "}]}";
	}

	/**
	 * Hands a job in as a client does: again at the next process after no answer, 502 or
	 * 504, and after 429 or 503 a little later.
	 */
	boolean submit(String id, String body) throws InterruptedException {
		for (int attempt = 0; attempt < 5; attempt++) {
			Node node = this.nodes.get((Math.abs(id.hashCode()) + attempt) % this.nodes.size());
			if (call(node, "POST", HOST, PREFIX + id, body).status() == 200) {
				return true;
			}
			Thread.sleep(500);
		}
		return false;
	}

	@Override
	public synchronized void close() {
		if (this.closed) {
			return;
		}
		this.closed = true;
		for (Node node : this.nodes) {
			try {
				node.kill();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
		this.record.line("all processes ended");
		String kept = System.getenv("KEEP");
		if (kept != null) {
			System.out.println("logs: " + this.folder);
			return;
		}
		try (Stream<Path> files = Files.walk(this.folder)) {
			files.sorted(Comparator.reverseOrder()).forEach((file) -> file.toFile().delete());
		}
		catch (IOException ex) {
			System.err.println(ex);
		}
	}

	/**
	 * The case could not run.
	 */
	static final class Unable extends RuntimeException {

		private static final long serialVersionUID = 1;

		Unable(String message) {
			super(message);
		}

	}

	/**
	 * A case; returns what broke the rule, or {@code null} if it held.
	 */
	interface Script {

		String run(Deployment deployment) throws Exception;

	}

	static void play(String[] arguments, Script script) throws IOException {
		int status;
		try (Deployment deployment = new Deployment(Path.of(arguments[0]))) {
			deployment.record.line(deployment.trouble ? "with the disruption" : "TROUBLE=0: without the disruption");
			try {
				String broken = script.run(deployment);
				deployment.record.line((broken != null) ? "BROKEN: " + broken : "the rule held");
				System.out.println((broken != null) ? "BROKEN: " + broken : "the rule held");
				status = (broken != null) ? 1 : 0;
			}
			catch (Exception ex) {
				deployment.record.line("the case could not run: " + ex);
				ex.printStackTrace();
				status = 2;
			}
		}
		System.exit(status);
	}

}
