package io.lentilstream.cli;

/**
 * The result of a command and its exit status.
 */
public enum ExitCode {

	/** The command completed successfully. */
	SUCCESS(0),

	/** The command ran and failed. */
	FAILED(1),

	/** The arguments or a settings file are invalid. */
	USAGE(2);

	private final int status;

	ExitCode(int status) {
		this.status = status;
	}

	/**
	 * Returns the exit status of the process.
	 * @return 0, 1 or 2
	 */
	public int status() {
		return this.status;
	}

}
