package review2;

import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * All processes are killed and started again after some hours of the site's usual traffic.
 */
final class AgedStore {

	/** Jobs a second on the sheet: 5.42 + 2.55 + 0.174. */
	private static final double JOBS_PER_SECOND = 8.1;

	/** Ended jobs that a leader deletes a second: 10 each 5 s. */
	private static final double DELETED_PER_SECOND = 2;

	private static final double HOURS = 3;

	/** How long ended jobs have to be kept, in seconds, with the project's margin. */
	private static final int KEPT_SECONDS = 150;

	private static final long PLAY_MILLIS = 85_000;

	private AgedStore() {
	}

	public static void main(String[] arguments) throws Exception {
		Deployment.play(arguments, AgedStore::run);
	}

	private static String run(Deployment d) throws Exception {
		d.configure(1, List.of());
		d.addMinions(8);
		for (int i = 1; i <= 3; i++) {
			d.addNode("edge-" + i, d.store.port(), Map.of());
		}
		d.awaitReady();
		Thread.sleep(2000);
		String done = "00000000000e1001";
		String text = "work=300;cpu=1000;" + "x".repeat(480);
		String body = "{\"spec\":\"" + text + "\",\"steps\":[{\"count\":8,\"cpu\":1000,\"mem-mb\":100,\"estimate-ms\":300},"
				+ "{\"count\":8,\"cpu\":1000,\"mem-mb\":100,\"estimate-ms\":300,\"after\":[0],\"checkpointing\":true}]}";
		if (!d.submit(done, body)) {
			throw new Deployment.Unable("the job was not accepted");
		}
		long until = Store.millis() + 10_000;
		while (!d.call(d.nodes.get(0), "GET", Deployment.HOST, Deployment.PREFIX + done, "").body().contains("completed")) {
			if (Store.millis() > until) {
				throw new Deployment.Unable("the job did not end");
			}
			Thread.sleep(500);
		}
		String open = "00000000000e1002";
		if (!d.submit(open, Deployment.job("work=12000;cpu=1000", 4, 1000, 12_000, ""))) {
			throw new Deployment.Unable("the job was not accepted");
		}
		for (Node node : d.nodes) {
			d.record.line("SIGKILL to " + node.name);
			node.kill();
		}
		// The ended jobs of the hours before, each stored as the one above.
		byte[] submission = d.store.get("lentilstream/in/job/" + done);
		byte[] progress = d.store.get("lentilstream/progress/" + done);
		int jobs = (int) (JOBS_PER_SECOND * KEPT_SECONDS);
		if (d.trouble) {
			jobs += (int) ((JOBS_PER_SECOND - DELETED_PER_SECOND) * HOURS * 3600);
		}
		Random random = new Random(1);
		for (int i = 0; i < jobs; i++) {
			String id = String.format("%016x", random.nextLong());
			d.store.addOld("lentilstream/in/job/" + id, submission);
			d.store.addOld("lentilstream/progress/" + id, progress);
		}
		d.record.line("the store holds " + jobs + " ended jobs, " + submission.length + " and " + progress.length + " bytes each");
		for (Node node : d.nodes) {
			node.restart();
			d.record.line("started " + node.name + " again");
		}
		int[] ends = new int[d.nodes.size()];
		long[] endedAt = new long[d.nodes.size()];
		until = Store.millis() + PLAY_MILLIS;
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
							+ node.lastLines(60).lines().filter((line) -> line.contains("process-failed")).findFirst().orElse(node.lastLines(1)));
				}
				else if (Store.millis() - endedAt[i] > 1000) {
					endedAt[i] = 0;
					node.restart();
					d.record.line("started " + node.name + " again");
				}
			}
			Thread.sleep(50);
		}
		String state = "";
		for (Node node : d.nodes) {
			state += " " + d.call(node, "GET", Deployment.HOST, Deployment.PREFIX + open, "").body();
		}
		boolean lost = !state.contains("completed") && d.minions.stream().noneMatch((minion) -> minion.runs(open));
		int machines = 0;
		StringBuilder counts = new StringBuilder();
		for (int i = 0; i < ends.length; i++) {
			machines += (ends[i] >= 3) ? 1 : 0;
			counts.append(' ').append(d.nodes.get(i).name).append(' ').append(ends[i]);
		}
		d.record.line("ends by themselves:" + counts + "; the open job is shown as" + state);
		if (machines >= 2) {
			return "Fault: processes ended by themselves three times or more on " + machines + " machines:" + counts;
		}
		return lost ? "LOST: an accepted job is not completed and has nothing running; ends by themselves:" + counts : null;
	}

}
