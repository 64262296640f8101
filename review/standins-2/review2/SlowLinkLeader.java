package review2;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The leader is killed while many accepted jobs wait, and the machine that follows it has
 * a link of 7 Mbit/s.
 */
final class SlowLinkLeader {

	private static final int JOBS = 300;

	private static final double SLOW_LINK_MBPS = 7;

	private static final Map<String, String> LARGE = Map.of("limits.cpu-share", "0.75", "limits.cores", "2");

	private static final Map<String, String> SMALL = Map.of("limits.cpu-share", "0.36", "limits.cores", "1");

	private SlowLinkLeader() {
	}

	public static void main(String[] arguments) throws Exception {
		Deployment.play(arguments, SlowLinkLeader::run);
	}

	private static String run(Deployment d) throws Exception {
		d.configure(1, List.of());
		d.addMinions(8);
		Node large = d.addNode("edge-large", d.store.port(), LARGE);
		d.addNode("edge-small-1", new Link(SLOW_LINK_MBPS).to(d.store.port(), false), SMALL);
		d.addNode("edge-small-2", new Link(SLOW_LINK_MBPS).to(d.store.port(), false), SMALL);
		d.awaitReady();
		if (d.leader() != large) {
			throw new Deployment.Unable("the large machine does not lead");
		}
		Thread.sleep(2000);
		// The text that a client sends with a job has up to 4,000 bytes.
		String spec = "work=4000;cpu=8000;" + "x".repeat(3900);
		List<String> accepted = new ArrayList<>();
		for (int i = 0; i < JOBS; i++) {
			String id = String.format("%016x", 0xa1000 + i);
			if (d.submit(id, Deployment.job(spec, 1, 8000, 4000, ""))) {
				accepted.add(id);
			}
		}
		d.record.line(accepted.size() + " jobs accepted");
		if (d.trouble) {
			d.record.line("SIGKILL to " + large.name + ", dark for 5 s");
			large.kill();
			Thread.sleep(5000);
			large.restart();
			d.record.line("started " + large.name + " again");
		}
		// contact-ms and recovery-s of the grown deployments.
		Thread.sleep(4000 + 15_000);
		long deadline = Store.millis() + 45_000;
		long lastActive = Store.millis();
		while (Store.millis() < deadline) {
			boolean active = d.minions.stream().anyMatch((minion) -> minion.runs(""));
			lastActive = active ? Store.millis() : lastActive;
			if (Store.millis() - lastActive > 10_000) {
				break;
			}
			Thread.sleep(50);
		}
		int open = 0;
		for (String id : accepted) {
			Node node = d.nodes.get(Integer.parseInt(id.substring(8), 16) % 3);
			Node.Answer answer = d.call(node, "GET", Deployment.HOST, Deployment.PREFIX + id, "");
			if (!answer.body().contains("completed")) {
				open++;
			}
		}
		long idle = Store.millis() - lastActive;
		d.record.line(open + " of " + accepted.size() + " accepted jobs are not completed; no minion has run anything for "
				+ idle + " ms");
		return (open > 0 && idle >= 3000) ? "LOST: " + open + " of " + accepted.size()
				+ " accepted jobs have nothing running, while all minions have been idle for " + idle + " ms" : null;
	}

}
