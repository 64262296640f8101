package io.lentilstream.standin;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Switches the faults of the store.
 */
public final class StoreFaults {

	private final Map<String, OutageMode> partitions = new ConcurrentHashMap<>();

	private final StandinStore store;

	private volatile OutageMode outage;

	private volatile Duration delay = Duration.ZERO;

	private int repliesToLose;

	StoreFaults(StandinStore store) {
		this.store = store;
	}

	/**
	 * Makes the store unavailable and cuts all waiting watches.
	 * @param mode how it answers
	 */
	public void startOutage(OutageMode mode) {
		this.outage = mode;
		this.store.endWatches(Reply.closed());
	}

	/**
	 * Makes the store available again.
	 */
	public void endOutage() {
		this.outage = null;
	}

	/**
	 * Separates one client from the store. Its waiting watches get no more changes.
	 * @param client the id that the client sends
	 * @param mode how the store answers that client
	 */
	public void partition(String client, OutageMode mode) {
		this.partitions.put(client, mode);
	}

	/**
	 * Ends the partition of one client.
	 * @param client the id that the client sends
	 */
	public void endPartition(String client) {
		this.partitions.remove(client);
	}

	/**
	 * Loses the replies of the next writes and lease calls after they took effect.
	 * @param count the number of replies to lose
	 */
	public synchronized void loseReplies(int count) {
		this.repliesToLose = count;
	}

	/**
	 * Delays each call before it takes effect.
	 * @param time the delay by the stand-in's clock
	 */
	public void delay(Duration time) {
		this.delay = time;
	}

	/**
	 * Ends all waiting watches with an answer without changes.
	 */
	public void endWatches() {
		this.store.endWatches(null);
	}

	/**
	 * Hides the next changes from all watches, also from those that start later.
	 * @param count the number of changes to hide
	 */
	public void hideChanges(int count) {
		this.store.hideChanges(count);
	}

	/**
	 * Forgets the changes so far, so that older watches must list again.
	 */
	public void compact() {
		this.store.compact();
	}

	Duration currentDelay() {
		return this.delay;
	}

	Optional<OutageMode> outage() {
		return Optional.ofNullable(this.outage);
	}

	Optional<OutageMode> partitionOf(String client) {
		return Optional.ofNullable(this.partitions.get(client));
	}

	synchronized boolean takeLostReply() {
		if (this.repliesToLose == 0) {
			return false;
		}
		this.repliesToLose--;
		return true;
	}

}
