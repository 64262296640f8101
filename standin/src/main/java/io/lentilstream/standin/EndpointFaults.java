package io.lentilstream.standin;

import java.time.Duration;

/**
 * Switches the faults of one endpoint.
 */
public final class EndpointFaults {

	private final StandinEndpoint endpoint;

	private EndpointFault fault = EndpointFault.NONE;

	private int left;

	private Duration lateBy = Duration.ZERO;

	private double slowness = 1;

	EndpointFaults(StandinEndpoint endpoint) {
		this.endpoint = endpoint;
	}

	/**
	 * Does one thing wrong with all requests.
	 * @param newFault what it does wrong
	 */
	public void always(EndpointFault newFault) {
		next(newFault, Integer.MAX_VALUE);
	}

	/**
	 * Does one thing wrong with the next requests.
	 * @param newFault what it does wrong
	 * @param count the number of requests
	 */
	public synchronized void next(EndpointFault newFault, int count) {
		this.fault = newFault;
		this.left = count;
	}

	/**
	 * Answers all requests late, after they ran.
	 * @param delay the extra delay by the stand-in's clock
	 */
	public synchronized void answerLate(Duration delay) {
		this.lateBy = delay;
		always(EndpointFault.ANSWERS_LATE);
	}

	/**
	 * Stretches all service times.
	 * @param factor the factor; 1 for the usual speed
	 */
	public synchronized void slow(double factor) {
		this.slowness = factor;
	}

	/**
	 * Marks the endpoint as leaving. The list of VMs shows it after its lag.
	 * @param refuses whether the endpoint itself refuses new requests as leaving
	 */
	public void leave(boolean refuses) {
		this.endpoint.leave();
		if (refuses) {
			always(EndpointFault.REFUSES_AS_LEAVING);
		}
	}

	/**
	 * Ends all faults and closes the connections of hanging requests.
	 */
	public void heal() {
		synchronized (this) {
			this.fault = EndpointFault.NONE;
			this.slowness = 1;
		}
		this.endpoint.releaseHanging();
	}

	synchronized EndpointFault take() {
		if (this.left == 0) {
			return EndpointFault.NONE;
		}
		this.left--;
		return this.fault;
	}

	synchronized Duration lateBy() {
		return this.lateBy;
	}

	synchronized double slowness() {
		return this.slowness;
	}

}
