package review2;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Minions crash in waves; each time one of them runs the first task of a sound job whose
 * tasks last until it is cancelled.
 */
final class CrashedServing {

	private static final int MINIONS = 16;

	/** The share of the minions that crash in a wave. */
	private static final double SHARE = 0.14;

	private static final int WAVES = 4;

	private static final long WAVE_MILLIS = 7000;

	private static final long DOWN_MILLIS = 1500;

	private static final int TASKS = 6;

	private CrashedServing() {
	}

	public static void main(String[] arguments) throws Exception {
		Deployment.play(arguments, CrashedServing::run);
	}

	private static String run(Deployment d) throws Exception {
		d.configure(1, List.of());
		d.addMinions(MINIONS);
		for (int i = 1; i <= 3; i++) {
			d.addNode("edge-" + i, d.store.port(), Map.of());
		}
		d.awaitReady();
		Thread.sleep(3000);
		String id = "00000000000c1001";
		if (!d.submit(id, Deployment.job("cpu=6000", TASKS, 6000, 2000,
				",\"long-running\":true,\"image\":\"web\",\"target-ms\":100"))) {
			throw new Deployment.Unable("the job was not accepted");
		}
		String first = id + ".0.0.0";
		for (int wave = 1; wave <= WAVES; wave++) {
			long waveAt = Store.millis();
			while (d.minions.stream().noneMatch((minion) -> minion.runs(first)) && Store.millis() < waveAt + 15_000) {
				Thread.sleep(20);
			}
			Thread.sleep(2000);
			List<Minion> crashed = new ArrayList<>(d.minions.stream().filter((minion) -> minion.runs(first)).toList());
			d.minions.stream()
				.filter((minion) -> !minion.runs(id))
				.limit((int) (SHARE * MINIONS) - crashed.size())
				.forEach(crashed::add);
			if (d.trouble) {
				d.record.line("wave " + wave + ": " + crashed.stream().map((minion) -> minion.id).toList() + " of "
						+ MINIONS + " minions crash");
				crashed.forEach(Minion::crash);
			}
			Thread.sleep(DOWN_MILLIS);
			for (Minion minion : d.trouble ? crashed : List.<Minion>of()) {
				String next = minion.id.substring(0, minion.id.lastIndexOf('-') + 1) + wave;
				minion.start(next);
				d.record.line(next + " starts at the same address");
			}
			Thread.sleep(Math.max(0, waveAt + WAVE_MILLIS - Store.millis()));
		}
		// contact-ms, and the 6 s in which a task that lasts has to be back.
		Thread.sleep(10_000);
		Node.Answer answer = d.call(d.nodes.get(0), "GET", Deployment.HOST, Deployment.PREFIX + id, "");
		long running = d.minions.stream().filter((minion) -> minion.runs(id)).count();
		long failed = d.record.events(id).stream().filter((event) -> event.how().equals("failed")).count();
		long stopped = d.record.events(id)
			.stream()
			.filter((event) -> event.how().equals("stopped") && event.minion().endsWith("-0"))
			.count();
		d.record.line(stopped + " of its runs were stopped on minions that never crashed");
		d.record.line("the job is shown as " + answer.body() + "; " + running + " minions run its tasks; " + failed
				+ " of its runs have ended failed; nobody has cancelled it");
		return (answer.body().contains("failed") && failed == 0)
				? "LOST: the job is shown as failed, though none of its runs has ended 'failed' and its tasks last" : null;
	}

}
