package io.lentilstream.cli.demo;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Changes settings as operators do and checks that each accepted change is in force.
 */
final class DemoOperator {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final long IN_FORCE_MILLIS = 3_000;

	private static final long POLL_MILLIS = 20;

	private final DemoCluster cluster;

	private final DemoClient client;

	private final Properties properties;

	private final Map<String, Long> highestSeen = new TreeMap<>();

	DemoOperator(DemoCluster cluster, DemoClient client, Properties properties) {
		this.cluster = cluster;
		this.client = client;
		this.properties = properties;
	}

	/**
	 * Changes settings.
	 * @param edits the new values by path
	 * @return the answer
	 */
	DemoAnswer change(Map<String, String> edits) {
		return this.client.send("POST", this.cluster.pick() + "/admin/settings", headers(), body(edits)).join();
	}

	/**
	 * Changes the same setting at two entry VMs at once; at most one change may win if
	 * both saw the same revision.
	 * @param path the path
	 * @param revision the revision that both operators saw
	 * @return the number of accepted changes
	 */
	int race(String path, long revision) {
		ObjectNode first = MAPPER.createObjectNode().put("reason", "first").put("expectedRevision", revision);
		first.putObject("edits").put(path, "400ms");
		ObjectNode second = MAPPER.createObjectNode().put("reason", "second").put("expectedRevision", revision);
		second.putObject("edits").put(path, "450ms");
		var one = this.client.send("POST", this.cluster.pick() + "/admin/settings", headers(), bytes(first));
		var two = this.client.send("POST", this.cluster.pick() + "/admin/settings", headers(), bytes(second));
		int accepted = (one.join().isOk() ? 1 : 0) + (two.join().isOk() ? 1 : 0);
		this.properties.settingsInForce.check(accepted <= 1, "two operators won the same race");
		return accepted;
	}

	/**
	 * Waits until a revision is in force at all running entry VMs.
	 * @param document the document
	 * @param revision the revision
	 * @return milliseconds from the call to the last entry VM
	 */
	long awaitInForce(String document, long revision) throws InterruptedException {
		long start = System.nanoTime();
		long elapsed;
		boolean everywhere;
		do {
			Thread.sleep(POLL_MILLIS);
			everywhere = everywhere(document, revision);
			elapsed = (System.nanoTime() - start) / 1_000_000;
		}
		while (!everywhere && elapsed < IN_FORCE_MILLIS);
		this.properties.settingsInForce.check(everywhere,
				document + " revision " + revision + " not in force after " + elapsed + " ms");
		return elapsed;
	}

	private boolean everywhere(String document, long revision) {
		boolean everywhere = true;
		for (DemoCluster.Member member : this.cluster.running()) {
			long seen = member.daemon().revisionInForce(document);
			String at = member.vm() + document;
			long before = this.highestSeen.getOrDefault(at, 0L);
			this.properties.settingsInForce.check(seen >= before, at + " went back from " + before + " to " + seen);
			this.highestSeen.put(at, Math.max(seen, before));
			everywhere &= seen >= revision;
		}
		return everywhere;
	}

	private static byte[] body(Map<String, String> edits) {
		ObjectNode node = MAPPER.createObjectNode().put("reason", "demonstration").put("author", "demo");
		ObjectNode values = node.putObject("edits");
		edits.forEach(values::put);
		return bytes(node);
	}

	private static byte[] bytes(ObjectNode node) {
		try {
			return MAPPER.writeValueAsBytes(node);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("a change cannot be written as JSON", ex);
		}
	}

	private static Map<String, String> headers() {
		return Map.of("Authorization", "Bearer " + DemoNames.ADMINISTRATOR_KEY, "Content-Type", "application/json");
	}

	static List<String> platformPaths() {
		return DemoNames.ZONES.stream().map((zone) -> "/platform/zones/" + zone + "/region").toList();
	}

}
