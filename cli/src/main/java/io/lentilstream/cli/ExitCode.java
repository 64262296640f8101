package io.lentilstream.cli;

/**
 * Is how a command ended.
 */
public enum ExitCode {

	/** The command did what it was asked to do. */
	SUCCESS(0),

	/** The command ran and failed. */
	FAILED(1),

	/** The arguments or a settings file are wrong. */
	USAGE(2);

	private final int status;

	ExitCode(int status) {
		this.status = status;
	}

	/**
	 * Returns the exit status of the process.
	 * @return the status
	 */
	public int status() {
		return this.status;
	}

}
