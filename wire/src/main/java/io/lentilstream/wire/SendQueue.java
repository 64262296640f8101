package io.lentilstream.wire;

import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;

/**
 * Holds the frames that wait for one link. Each priority has its own bounds, so that a
 * burst of requests cannot take the room of heartbeats, and the highest priority leaves
 * first.
 */
public final class SendQueue {

	private final int maxMessages;

	private final int maxBytes;

	private final Map<SendPriority, Queue<Entry>> entries = new EnumMap<>(SendPriority.class);

	private final Map<SendPriority, Integer> bytes = new EnumMap<>(SendPriority.class);

	/**
	 * Creates an empty queue.
	 * @param maxMessages largest number of messages per priority
	 * @param maxBytes largest number of bytes per priority
	 */
	public SendQueue(int maxMessages, int maxBytes) {
		this.maxMessages = maxMessages;
		this.maxBytes = maxBytes;
		for (SendPriority priority : SendPriority.values()) {
			this.entries.put(priority, new ArrayDeque<>());
			this.bytes.put(priority, 0);
		}
	}

	/**
	 * Adds an encoded frame.
	 * @param kind the type of the message
	 * @param frame the encoded frame
	 * @return whether there was room
	 */
	public synchronized boolean offer(MessageKind kind, byte[] frame) {
		SendPriority priority = kind.priority();
		Queue<Entry> queue = this.entries.get(priority);
		if (queue.size() >= this.maxMessages || this.bytes.get(priority) + frame.length > this.maxBytes) {
			return false;
		}
		queue.add(new Entry(kind, frame));
		this.bytes.merge(priority, frame.length, Integer::sum);
		return true;
	}

	/**
	 * Takes the oldest frame of the highest priority.
	 * @return the frame, or empty if none waits
	 */
	public synchronized Optional<Entry> poll() {
		for (SendPriority priority : SendPriority.values()) {
			Entry entry = this.entries.get(priority).poll();
			if (entry != null) {
				this.bytes.merge(priority, -entry.frame().length, Integer::sum);
				return Optional.of(entry);
			}
		}
		return Optional.empty();
	}

	/**
	 * Is one waiting frame.
	 *
	 * @param kind the type of the message
	 * @param frame the encoded frame
	 */
	public record Entry(MessageKind kind, byte[] frame) {
	}

}
