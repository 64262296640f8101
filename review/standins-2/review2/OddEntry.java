package review2;

import java.util.List;
import java.util.Map;

/**
 * Another writer's entry stands in the list of minions: its address cannot be used.
 */
final class OddEntry {

	private static final String KEY = "servers/i-other";

	private static final String ENTRY = "{\"service\":\"ash-collect\",\"address\":\"::1%gone0:8080\",\"zone\":\"depot\","
			+ "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold-left-ms\":0,"
			+ "\"capacity\":{\"cpu\":32000,\"mem-mb\":1000,\"gpu\":0},\"labels\":[\"a\",\"r1-1\"],"
			+ "\"clock-ms\":1000,\"seq\":1,\"born\":1700000000000}";

	private static final long PLAY_MILLIS = 45_000;

	private static final long RESTART_MILLIS = 1000;

	private OddEntry() {
	}

	public static void main(String[] arguments) throws Exception {
		Deployment.play(arguments, OddEntry::run);
	}

	private static String run(Deployment d) throws Exception {
		d.configure(1, List.of());
		d.addMinions(8);
		for (int i = 1; i <= 3; i++) {
			d.addNode("edge-" + i, d.store.port(), Map.of());
		}
		d.awaitReady();
		Thread.sleep(2000);
		String id = "00000000000b1001";
		if (!d.submit(id, Deployment.job("work=5000;cpu=1000", 40, 1000, 5000, ""))) {
			throw new Deployment.Unable("the job was not accepted");
		}
		if (d.trouble) {
			d.store.put(KEY, ENTRY);
			d.record.line("another writer writes " + KEY + " " + ENTRY);
		}
		int[] ends = new int[d.nodes.size()];
		long[] endedAt = new long[d.nodes.size()];
		long until = Store.millis() + PLAY_MILLIS;
		while (Store.millis() < until) {
			for (int i = 0; i < ends.length; i++) {
				Node node = d.nodes.get(i);
				if (node.alive()) {
					continue;
				}
				if (endedAt[i] == 0) {
					endedAt[i] = Store.millis();
					ends[i]++;
					d.record.line(node.name + " ended by itself with status " + node.exitValue() + ": "
							+ node.lastLines(60).lines().filter((line) -> line.contains("process-failed")).findFirst().orElse(""));
				}
				else if (Store.millis() - endedAt[i] > RESTART_MILLIS) {
					endedAt[i] = 0;
					node.restart();
					d.record.line("started " + node.name + " again");
				}
			}
			Thread.sleep(50);
		}
		Node alive = d.nodes.stream().filter(Node::alive).findFirst().orElse(d.nodes.get(0));
		d.call(alive, "GET", Deployment.HOST, Deployment.PREFIX + id, "");
		int machines = 0;
		StringBuilder counts = new StringBuilder();
		for (int i = 0; i < ends.length; i++) {
			machines += (ends[i] >= 3) ? 1 : 0;
			counts.append(' ').append(d.nodes.get(i).name).append(' ').append(ends[i]);
		}
		d.record.line("ends by themselves:" + counts);
		return (machines >= 2) ? "Fault: processes ended by themselves three times or more on " + machines + " machines:"
				+ counts : null;
	}

}
