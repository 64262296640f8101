package io.lentilstream.jobs.scheduling;

import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

import io.lentilstream.jobs.StepSpec;
import io.lentilstream.jobs.WorkerId;
import io.lentilstream.jobs.WorkerListing;
import io.lentilstream.model.Resources;

/**
 * A VM that runs tasks, as far as this scheduler knows.
 */
final class Worker {

	WorkerListing listing;

	/** When the VM left the list, in milliseconds; negative while it is listed. */
	long unlistedSince = -1;

	/** Whether this scheduler has a report of the VM and may give it work. */
	boolean opened;

	WorkerLease lease = new WorkerLease();

	Incarnation incarnation = new Incarnation();

	private long incarnationStartMillis;

	final Map<Run.RunKey, Run> runs = new LinkedHashMap<>();

	Resources reserved = Resources.NONE;

	/** Processor time that filling tasks request, in thousandths of a core. */
	long fillDemand;

	int serving;

	/** Processor time that serving tasks request, in thousandths of a core. */
	long servingDemand;

	/** Processor time that long-running tasks reserve, in thousandths of a core. */
	long lastingDemand;

	/** Runs that were ordered since the VM was last avoided. */
	int ordersSinceAvoided;

	/** The highest number of an end that was taken in. */
	long lastEnd;

	/** The highest number of an end that is stored. */
	long acknowledged;

	final ArrayDeque<UnstoredEnd> unstored = new ArrayDeque<>();

	boolean holdInFlight;

	long nextHoldAt;

	/** When the VM last answered, in milliseconds. */
	long answeredAt;

	int silent;

	/** When the VM may be given new tasks again, in milliseconds. */
	long avoidUntil;

	int failuresInRow;

	/**
	 * Since when a serving task is over its target, in milliseconds; negative if none is.
	 */
	long pressedSince = -1;

	Worker(WorkerListing listing, long now) {
		this.listing = listing;
		this.incarnationStartMillis = listing.incarnationStartMillis();
		this.answeredAt = now;
	}

	long incarnationStartMillis() {
		return this.incarnationStartMillis;
	}

	/**
	 * Forgets what belonged to the former incarnation.
	 * @param born the start of the new incarnation, in milliseconds since 1970
	 * @param now the current time in milliseconds
	 */
	void restart(long born, long now) {
		this.incarnationStartMillis = born;
		this.incarnation = new Incarnation();
		this.opened = false;
		this.lease = new WorkerLease();
		this.lastEnd = 0;
		this.acknowledged = 0;
		this.unstored.clear();
		this.holdInFlight = false;
		this.nextHoldAt = now;
		this.silent = 0;
		this.answeredAt = now;
		this.failuresInRow = 0;
	}

	WorkerId id() {
		return this.listing.id();
	}

	Resources free() {
		return this.listing.capacity().minus(this.reserved);
	}

	/**
	 * Returns what tasks that neither serve nor fill request.
	 * @return thousandths of a core
	 */
	long plainDemand() {
		return this.reserved.milliCores() - this.servingDemand;
	}

	void add(Run run) {
		this.runs.put(run.key(), run);
		StepSpec spec = run.task.spec();
		this.reserved = this.reserved.plus(spec.reserved());
		this.fillDemand += spec.traits().bestEffort() ? spec.size().milliCores() : 0;
		this.serving += spec.serves() ? 1 : 0;
		this.servingDemand += spec.serves() ? spec.size().milliCores() : 0;
		this.lastingDemand += spec.traits().longRunning() ? spec.reserved().milliCores() : 0;
	}

	void remove(Run run) {
		if (this.runs.remove(run.key()) == null) {
			return;
		}
		StepSpec spec = run.task.spec();
		this.reserved = this.reserved.minus(spec.reserved());
		this.fillDemand -= spec.traits().bestEffort() ? spec.size().milliCores() : 0;
		this.serving -= spec.serves() ? 1 : 0;
		this.servingDemand -= spec.serves() ? spec.size().milliCores() : 0;
		this.lastingDemand -= spec.traits().longRunning() ? spec.reserved().milliCores() : 0;
	}

	/**
	 * Counts how many runs of a step are here.
	 * @param step the step
	 * @return the number of runs
	 */
	int countOf(StepState step) {
		int count = 0;
		for (Run run : this.runs.values()) {
			if (run.task.step == step) {
				count++;
			}
		}
		return count;
	}

	boolean takesWork(long now) {
		return this.opened && this.unlistedSince < 0 && !this.listing.draining() && this.silent == 0
				&& now >= this.avoidUntil
				&& (this.failuresInRow < WorkerCircuitBreaker.SUSPICIOUS || this.ordersSinceAvoided == 0);
	}

	void acknowledgeStored() {
		while (!this.unstored.isEmpty() && this.unstored.peek().stored()) {
			this.acknowledged = this.unstored.poll().number;
		}
	}

	@Override
	public String toString() {
		return Objects.toString(this.listing.id());
	}

	/**
	 * Marks one incarnation, so that late answers of an earlier one can be told apart.
	 */
	static final class Incarnation {

	}

	/**
	 * An end that is not known to be stored.
	 *
	 * @param number the number of the end
	 * @param job the job whose progress holds it; {@code null} if nothing has to be
	 * stored
	 * @param version the version of that progress
	 */
	record UnstoredEnd(long number, Job job, long version) {

		boolean stored() {
			return this.job == null || this.job.storedVersion >= this.version;
		}

	}

}
