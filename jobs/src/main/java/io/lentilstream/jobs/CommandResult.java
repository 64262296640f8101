package io.lentilstream.jobs;

/**
 * The result of a command to a VM.
 */
public sealed interface CommandResult {

	/**
	 * The VM carried out the command.
	 *
	 * @param clockMillis reading of the VM's monotonic clock, in milliseconds
	 */
	record Done(long clockMillis) implements CommandResult {
	}

	/**
	 * The VM rejected the command, which has had no effect.
	 *
	 * @param reason the reason for the refusal
	 */
	record Refused(Refusal reason) implements CommandResult {
	}

	/**
	 * The VM did not respond. The command may have taken effect, or may still do so.
	 */
	record Unknown() implements CommandResult {
	}

	/**
	 * The reasons for which a command is refused.
	 */
	enum Refusal {

		/** The command was fenced off: a newer scheduler has sent commands to this VM. */
		FENCED,

		/**
		 * A run of the task with this number or a higher one has already ended on the VM.
		 */
		OUTDATED_RUN,

		/** The command arrived after its deadline. */
		TOO_LATE,

		/** The VM lacks the resources that the task requests. */
		NO_ROOM,

		/** The advice that allows the start is missing or has expired. */
		NO_ADVICE,

		/** The VM is not healthy. */
		UNHEALTHY,

		/** Another incarnation of the VM responded at this address. */
		OTHER_INCARNATION,

		/** The command was not sent, so it cannot take effect. */
		NOT_SENT,

		/** The VM did not understand the command. */
		INVALID

	}

}
