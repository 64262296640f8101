package io.lentilstream.jobs.scheduling;

/**
 * Decides when a command that may be carried out several times is repeated although
 * earlier ones may still be answered. Load pattern: VMs that leave a part of their
 * commands unanswered, of which a single one delays all callers that wait for all VMs.
 */
final class RepeatedCommandRule {

	/** The time without an answer after which a command is repeated, in milliseconds. */
	static final long REPEAT_MILLIS = 150;

	/** The maximum number of commands that wait for their answers. */
	static final int MAX_UNANSWERED = 3;

	private RepeatedCommandRule() {
	}

	/**
	 * Tells whether another command is sent.
	 * @param unanswered the number of commands that wait for their answers
	 * @param lastSentAt when the last of them was sent, in milliseconds
	 * @param now the current time in milliseconds
	 * @return {@code true} if none waits, or the last has waited for long enough
	 */
	static boolean due(int unanswered, long lastSentAt, long now) {
		return unanswered == 0 || unanswered < MAX_UNANSWERED && now - lastSentAt >= REPEAT_MILLIS;
	}

}
