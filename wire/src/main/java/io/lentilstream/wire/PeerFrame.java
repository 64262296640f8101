package io.lentilstream.wire;

/**
 * Is a message with the ids that travel beside it.
 *
 * @param correlationId matches answers to requests; empty if there is no answer
 * @param traceparent the W3C trace context; empty if there is none
 * @param message the message
 */
public record PeerFrame(String correlationId, String traceparent, PeerMessage message) {

	/**
	 * Creates a frame without correlation id and trace context.
	 * @param message the message
	 * @return the frame
	 */
	public static PeerFrame of(PeerMessage message) {
		return new PeerFrame("", "", message);
	}

}
