package io.lentilstream.wire;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts messages and bytes by type and direction. Bytes include the length field and
 * exclude the headers of TCP and IP.
 */
public final class TrafficMeter {

	private final Map<MessageKind, Counter> sent = counters();

	private final Map<MessageKind, Counter> received = counters();

	private final LongAdder refused = new LongAdder();

	/**
	 * Counts a frame that was written to a link.
	 * @param kind the type
	 * @param bytes the size with the length field
	 */
	public void sent(MessageKind kind, int bytes) {
		this.sent.get(kind).add(bytes);
	}

	/**
	 * Counts a frame that was received and decoded.
	 * @param kind the type
	 * @param bytes the size with the length field
	 */
	public void received(MessageKind kind, int bytes) {
		this.received.get(kind).add(bytes);
	}

	/**
	 * Counts a frame that was refused or skipped.
	 */
	public void refused() {
		this.refused.increment();
	}

	/**
	 * Returns what was sent so far.
	 * @param kind the type
	 * @return messages and bytes
	 */
	public Traffic sentOf(MessageKind kind) {
		return this.sent.get(kind).traffic();
	}

	/**
	 * Returns what was received so far.
	 * @param kind the type
	 * @return messages and bytes
	 */
	public Traffic receivedOf(MessageKind kind) {
		return this.received.get(kind).traffic();
	}

	/**
	 * Returns how many frames were refused or skipped.
	 * @return the number of frames
	 */
	public long refusedFrames() {
		return this.refused.sum();
	}

	private static Map<MessageKind, Counter> counters() {
		Map<MessageKind, Counter> counters = new EnumMap<>(MessageKind.class);
		for (MessageKind kind : MessageKind.values()) {
			counters.put(kind, new Counter(new LongAdder(), new LongAdder()));
		}
		return counters;
	}

	/**
	 * Is an amount of traffic.
	 *
	 * @param messages the number of messages
	 * @param bytes the number of bytes
	 */
	public record Traffic(long messages, long bytes) {
	}

	private record Counter(LongAdder messages, LongAdder bytes) {

		void add(int size) {
			this.messages.increment();
			this.bytes.add(size);
		}

		Traffic traffic() {
			return new Traffic(this.messages.sum(), this.bytes.sum());
		}

	}

}
