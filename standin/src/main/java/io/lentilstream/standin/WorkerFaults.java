package io.lentilstream.standin;

/**
 * Switches the faults of one worker.
 */
public final class WorkerFaults {

	private final StandinWorker worker;

	private volatile boolean silent;

	private volatile String failure;

	private volatile String refusal;

	private volatile boolean losesReplies;

	WorkerFaults(StandinWorker worker) {
		this.worker = worker;
	}

	/**
	 * Stops answering. Tasks go on until their leases expire.
	 */
	public void silence() {
		this.silent = true;
	}

	/**
	 * Fails every task as soon as it starts.
	 * @param reason the reason that the reports give
	 */
	public void failEverything(String reason) {
		this.failure = reason;
	}

	/**
	 * Refuses every command without any effect.
	 * @param reason the reason of the refusals
	 */
	public void refuse(String reason) {
		this.refusal = reason;
	}

	/**
	 * Carries out every command and closes the connection without an answer.
	 */
	public void loseReplies() {
		this.losesReplies = true;
	}

	/**
	 * Ends the VM: all tasks end at once and the worker does not answer. After
	 * {@link #heal()} it has no tasks and no memory of epochs.
	 */
	public void crash() {
		this.silent = true;
		this.worker.crash();
	}

	/**
	 * Ends all faults.
	 */
	public void heal() {
		this.silent = false;
		this.failure = null;
		this.refusal = null;
		this.losesReplies = false;
	}

	boolean isSilent() {
		return this.silent;
	}

	boolean isLosingReplies() {
		return this.losesReplies;
	}

	String failure() {
		return this.failure;
	}

	String refusal() {
		return this.refusal;
	}

}
