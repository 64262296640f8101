package io.lentilstream.control.peers;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import io.netty.channel.Channel;

import io.lentilstream.control.EventLoop;

/**
 * The followers that are connected to this process, with what they told last. All methods
 * must be called on the event loop.
 */
public final class FollowerRegistry {

	/**
	 * Age of a ping beyond which its follower may be lost, in milliseconds. Pings are 0.5
	 * s apart.
	 */
	private static final long MAX_PING_AGE_MILLIS = 1000;

	private final EventLoop loop;

	private final Runnable successorFound;

	private final Map<Channel, Ping> pings = new LinkedHashMap<>();

	/**
	 * Creates a registry without followers.
	 * @param loop the event loop
	 * @param successorFound run at each ping of a follower that can lead
	 */
	public FollowerRegistry(EventLoop loop, Runnable successorFound) {
		this.loop = loop;
		this.successorFound = successorFound;
	}

	/**
	 * Returns whether a follower could lead if this process ended its lease now.
	 * @return {@code true} if one has told so recently, or may be of an earlier version
	 * that tells nothing
	 */
	public boolean hasSuccessor() {
		return successor().isPresent();
	}

	/**
	 * Tells a follower that can lead that there is no leader any more.
	 * @return {@code false} if there is none
	 */
	public boolean notifySuccessor() {
		Optional<Channel> successor = successor();
		successor.ifPresent(
				(channel) -> PeerChannelInitializer.send(channel, PeerFrame.of(PeerFrame.Kind.NOT_LEADING, 0, "")));
		return successor.isPresent();
	}

	/**
	 * Returns the number of followers that are connected.
	 * @return the number
	 */
	public int count() {
		return this.pings.size();
	}

	void received(Channel from, PeerFrame frame) {
		if (frame.kind() != PeerFrame.Kind.PING) {
			return;
		}
		Ping ping = new Ping(frame.number(), this.loop.now());
		this.pings.put(from, ping);
		if (ping.canLead()) {
			this.successorFound.run();
		}
	}

	void closed(Channel channel) {
		this.pings.remove(channel);
	}

	// Processes of earlier versions cannot be notified.
	private Optional<Channel> successor() {
		long oldest = this.loop.now() - MAX_PING_AGE_MILLIS;
		return this.pings.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().canLead() && entry.getValue().receivedAt() >= oldest)
			.max(Map.Entry
				.comparingByValue(Comparator.comparing(Ping::tellsCandidacy).thenComparingLong(Ping::receivedAt)))
			.map(Map.Entry::getKey);
	}

	/**
	 * The last ping of a follower.
	 *
	 * @param number the number of its frame
	 * @param receivedAt when it was received, on the steady clock in milliseconds
	 */
	private record Ping(long number, long receivedAt) {

		boolean canLead() {
			return this.number != PeerFrame.CANNOT_LEAD;
		}

		boolean tellsCandidacy() {
			return this.number != 0;
		}

	}

}
