package io.lentilstream.cli.demo;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A client that changes settings through the administration API and checks that each
 * accepted change comes into force on all running entry VMs.
 */
final class DemoOperator {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final long IN_FORCE_TIMEOUT_MILLIS = 3_000;

	private static final long POLL_INTERVAL_MILLIS = 20;

	private final DemoCluster cluster;

	private final DemoClient client;

	private final PropertyChecks checks;

	private final Map<String, Long> highestRevisions = new TreeMap<>();

	DemoOperator(DemoCluster cluster, DemoClient client, PropertyChecks checks) {
		this.cluster = cluster;
		this.client = client;
		this.checks = checks;
	}

	/**
	 * Sends a settings change and waits for the response.
	 * @param edits the new values by path
	 * @return the response
	 */
	DemoResponse changeSettings(Map<String, String> edits) {
		return this.client.send("POST", this.cluster.nextBaseUrl() + "/admin/settings", headers(), changeBody(edits))
			.join();
	}

	/**
	 * Sends two concurrent changes of the same setting, each to the next entry VM. As
	 * both expect the same revision, at most one may be accepted.
	 * @param path the path of the setting
	 * @param revision the revision that both changes expect
	 * @return the number of accepted changes
	 */
	int raceChanges(String path, long revision) {
		ObjectNode first = MAPPER.createObjectNode().put("reason", "first").put("expectedRevision", revision);
		first.putObject("edits").put(path, "400ms");
		ObjectNode second = MAPPER.createObjectNode().put("reason", "second").put("expectedRevision", revision);
		second.putObject("edits").put(path, "450ms");
		var firstResponse = this.client.send("POST", this.cluster.nextBaseUrl() + "/admin/settings", headers(),
				toJsonBytes(first));
		var secondResponse = this.client.send("POST", this.cluster.nextBaseUrl() + "/admin/settings", headers(),
				toJsonBytes(second));
		int accepted = (firstResponse.join().isOk() ? 1 : 0) + (secondResponse.join().isOk() ? 1 : 0);
		this.checks.settingsInForce.check(accepted <= 1, "two operators won the same race");
		return accepted;
	}

	/**
	 * Waits until a revision is in force on all running entry VMs. Records a violation if
	 * that takes too long or if the revision of an entry VM decreases.
	 * @param document the path of the settings document
	 * @param revision the revision to wait for
	 * @return the elapsed time in milliseconds
	 */
	long awaitInForce(String document, long revision) throws InterruptedException {
		long start = System.nanoTime();
		long elapsed;
		boolean everywhere;
		do {
			Thread.sleep(POLL_INTERVAL_MILLIS);
			everywhere = isInForceEverywhere(document, revision);
			elapsed = (System.nanoTime() - start) / 1_000_000;
		}
		while (!everywhere && elapsed < IN_FORCE_TIMEOUT_MILLIS);
		this.checks.settingsInForce.check(everywhere,
				document + " revision " + revision + " not in force after " + elapsed + " ms");
		return elapsed;
	}

	private boolean isInForceEverywhere(String document, long revision) {
		boolean everywhere = true;
		for (DemoCluster.Member member : this.cluster.runningMembers()) {
			long current = member.daemon().revisionInForce(document);
			String location = member.vm() + document;
			long previous = this.highestRevisions.getOrDefault(location, 0L);
			this.checks.settingsInForce.check(current >= previous,
					location + " went back from " + previous + " to " + current);
			this.highestRevisions.put(location, Math.max(current, previous));
			everywhere &= current >= revision;
		}
		return everywhere;
	}

	private static byte[] changeBody(Map<String, String> edits) {
		ObjectNode node = MAPPER.createObjectNode().put("reason", "demonstration").put("author", "demo");
		ObjectNode values = node.putObject("edits");
		edits.forEach(values::put);
		return toJsonBytes(node);
	}

	private static byte[] toJsonBytes(ObjectNode node) {
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
