package review2;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A machine with a link of 7 Mbit/s is cut off from the store for 5.5 s, while the
 * configuration, which has grown by many routes, changes four times.
 */
final class SlowLinkConfig {

	private static final double SLOW_LINK_MBPS = 7;

	/** The idle routes of the site and the dose of big_config. */
	private static final int ROUTES = 240 + 1400;

	private static final int CHANGES = 4;

	/** The time between changes that the bench's operator keeps with so many routes. */
	private static final long CHANGE_MILLIS = 1200;

	private static final long CUT_MILLIS = 5500;

	private static final long CONTACT_MILLIS = 4000;

	private static final long CONFIG_APPLY_MILLIS = 3000;

	private SlowLinkConfig() {
	}

	public static void main(String[] arguments) throws Exception {
		Deployment.play(arguments, SlowLinkConfig::run);
	}

	private static String run(Deployment d) throws Exception {
		List<String> routes = new ArrayList<>();
		for (int i = 0; i < ROUTES; i++) {
			routes.add(String.format("idle%04d", i));
		}
		d.configure(1, routes);
		d.addMinions(4);
		Map<String, String> largeSettings = Map.of("limits.cpu-share", "0.75", "limits.cores", "2");
		Node large = d.addNode("edge-large-1", d.store.port(), largeSettings);
		d.addNode("edge-large-2", d.store.port(), largeSettings);
		Link link = new Link(SLOW_LINK_MBPS);
		Node small = d.addNode("edge-small", link.to(d.store.port(), true),
				Map.of("limits.cpu-share", "0.36", "limits.cores", "1"));
		int toSmall = link.to(small.front, false);
		d.awaitReady();
		Thread.sleep(4000);

		long cutAt = Store.millis();
		if (d.trouble) {
			d.record.line("edge-small is cut off from the store");
			link.setCut(true);
		}
		String dropped = "";
		long acknowledgedAt = 0;
		for (int i = 0; i < CHANGES; i++) {
			sleepUntil(cutAt + 500 + i * CHANGE_MILLIS);
			dropped = routes.remove(0);
			routes.add("new" + i);
			d.configure(2 + i, routes);
			acknowledgedAt = Store.millis();
		}
		d.record.line("the last change drops the route " + dropped);
		sleepUntil(cutAt + CUT_MILLIS);
		link.setCut(false);
		long healedAt = Store.millis();
		d.record.line(d.trouble ? "edge-small reaches the store again" : "no cut");

		// From here on edge-small is in touch and the newest version has to be applied.
		sleepUntil(Math.max(healedAt + CONTACT_MILLIS, acknowledgedAt + CONFIG_APPLY_MILLIS) + 500);
		long sound = Store.millis();
		int served = 0;
		long lastServed = sound;
		while (Store.millis() < sound + 30_000) {
			Node.Answer atLarge = d.call(large, "GET", dropped + ".example", "/" + dropped + "/", "");
			Node.Answer atSmall = Node.call(toSmall, "GET", dropped + ".example", "/" + dropped + "/", "", 3000);
			d.record.line("call  GET " + dropped + ".example/" + dropped + "/ at edge-small -> " + atSmall.status() + " "
					+ atSmall.body());
			if (atLarge.status() == 200) {
				throw new Deployment.Unable("the route is not dropped at " + large.name);
			}
			if (atSmall.status() == 200) {
				served++;
				lastServed = Store.millis();
			}
			else if (atSmall.status() == 404) {
				break;
			}
			Thread.sleep(500);
		}
		return (served > 0) ? "CONFIG: edge-small, in touch, ran " + served + " requests of a dropped route, up to "
				+ (lastServed - healedAt) + " ms after the cut had ended and " + (lastServed - acknowledgedAt)
				+ " ms after the acknowledgement" : null;
	}

	private static void sleepUntil(long time) throws InterruptedException {
		long left = time - Store.millis();
		if (left > 0) {
			Thread.sleep(left);
		}
	}

}
