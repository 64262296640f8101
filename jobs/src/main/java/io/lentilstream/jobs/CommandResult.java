package io.lentilstream.jobs;

/**
 * The result of a command to a VM.
 */
public sealed interface CommandResult {

	/**
	 * The VM has carried out the command.
	 *
	 * @param clockMillis the VM's steady clock, in milliseconds
	 */
	record Done(long clockMillis) implements CommandResult {
	}

	/**
	 * The VM has done nothing.
	 *
	 * @param reason why
	 */
	record Refused(Refusal reason) implements CommandResult {
	}

	/**
	 * There was no answer; the command may have taken effect, or may do so later.
	 */
	record Unknown() implements CommandResult {
	}

	/**
	 * The reasons for refusals.
	 */
	enum Refusal {

		/** A newer scheduler has sent commands to this VM. */
		FENCED,

		/** A run with this number or a higher one has ended there. */
		OUTDATED_RUN,

		/** The command arrived after its deadline. */
		TOO_LATE,

		/** There is no room for the task. */
		NO_ROOM,

		/** The advice that allows the start is missing or has expired. */
		NO_ADVICE,

		/** The VM is not healthy. */
		UNHEALTHY,

		/** Another incarnation answers at this address. */
		OTHER_INCARNATION,

		/** The command could not be sent; it cannot take effect. */
		NOT_SENT,

		/** The VM did not understand the command. */
		INVALID

	}

}
