package io.lentilstream.jobs.scheduling;

import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

import io.lentilstream.jobs.StepSpec;
import io.lentilstream.jobs.StoredSuspicion.AgeRange;
import io.lentilstream.jobs.WorkerId;
import io.lentilstream.jobs.WorkerIncarnation;
import io.lentilstream.jobs.WorkerListing;
import io.lentilstream.jobs.reliability.FaultBelief;
import io.lentilstream.model.Resources;

/**
 * The state of a VM that runs tasks, as known to this scheduler.
 */
final class Worker {

	/**
	 * The number of start commands in flight from which a VM takes no further tasks. The
	 * commands share a few connections, and their timeouts run while they wait.
	 */
	static final int MAX_STARTS_IN_FLIGHT = 16;

	WorkerListing listing;

	/**
	 * When the VM left the list, in milliseconds; negative while it is listed.
	 */
	long unlistedSince = -1;

	/**
	 * Whether the current incarnation has sent this scheduler a report, which is required
	 * before tasks are placed on it.
	 */
	boolean hasReported;

	/** Whether the current incarnation has listed all its ends in a report. */
	boolean hasReportedAllEnds;

	/**
	 * When the current incarnation sent this scheduler its first report, in milliseconds;
	 * negative if it has not. From then on it ignores commands of predecessors, except
	 * for report requests that it has not answered yet.
	 */
	long firstReportAt = -1;

	WorkerLease lease = new WorkerLease();

	Incarnation incarnation = new Incarnation();

	private long incarnationStartMillis;

	final Map<Run.RunKey, Run> runs = new LinkedHashMap<>();

	Resources reserved = Resources.NONE;

	/** The processor time that best-effort tasks request, in thousandths of a core. */
	long bestEffortDemand;

	int servingRuns;

	/** The processor time that serving tasks request, in thousandths of a core. */
	long servingDemand;

	/** The processor time that long-running tasks reserve, in thousandths of a core. */
	long longRunningDemand;

	/** The run that probes the VM after failures; {@code null} if there is none. */
	Run probe;

	/** Whether this scheduler has known a former incarnation. */
	boolean restarted;

	/**
	 * Whether commands that were sent to a former incarnation may still be carried out.
	 */
	boolean fencePending;

	/**
	 * When the fence against earlier commands was last raised, in milliseconds.
	 */
	long fencedAt = Long.MIN_VALUE / 2;

	/** The highest sequence number of the processed ends. */
	long lastEndNumber;

	/** The sequence number up to which all ends are stored. */
	long acknowledged;

	/** The sequence number up to which the VM has certainly forgotten its ends. */
	private long forgotten;

	final ArrayDeque<UnstoredEnd> unstoredEnds = new ArrayDeque<>();

	/**
	 * Whether the last report includes runs of unknown jobs, whose size is unknown too.
	 */
	boolean hasUnknownRuns;

	int unansweredReportRequests;

	/** When the last report was requested, in milliseconds. */
	long lastReportRequestAt;

	/** When the last report that has arrived was requested, in milliseconds. */
	long answeredReportRequestAt = Long.MIN_VALUE;

	long nextReportRequestAt;

	/**
	 * When the VM last sent a report, in milliseconds; initially when it became known.
	 */
	long lastReportAt;

	int missedReports;

	/** When the VM last fell silent, in milliseconds; kept when it reports again. */
	long silentSince = Long.MIN_VALUE / 2;

	/**
	 * When the VM last fell silent without a run on trial, in milliseconds; kept when it
	 * reports again.
	 */
	long silentWithoutTrialSince = Long.MIN_VALUE / 2;

	/** The time until which no new tasks are placed on the VM, in milliseconds. */
	long avoidUntil;

	/** Whether the VM receives neither leases nor starts, see {@link ExpiringLeases}. */
	boolean leaseLeftToExpire;

	/**
	 * Whether callers were promised that runs of ended jobs stop with the lease of this
	 * VM at the latest.
	 */
	boolean leaseEndGuaranteed;

	int consecutiveFailures;

	FaultBelief faultBelief = new FaultBelief();

	/** Whether this scheduler has seen the current incarnation in the list. */
	boolean incarnationListed = true;

	/** Whether operators evacuate the availability zone of the VM. */
	boolean evacuated;

	/** Whether the current incarnation was listed as draining. */
	boolean drained;

	/**
	 * The task for whose planned start or trial other tasks are kept away; {@code null}
	 * if there is none.
	 */
	Task keptFor;

	/** The number of start commands that have not been answered. */
	int startsInFlight;

	/** Whether another VM has reported at the address. */
	boolean replaced;

	/**
	 * Since when a serving task exceeds its latency target, in milliseconds; negative if
	 * none does.
	 */
	long overTargetSince = -1;

	Worker(WorkerListing listing, long now) {
		this.listing = listing;
		this.incarnationStartMillis = listing.incarnationStartMillis();
		this.drained = listing.draining();
		this.lastReportAt = now;
	}

	long incarnationStartMillis() {
		return this.incarnationStartMillis;
	}

	/**
	 * Resets the state that belongs to the previous incarnation. The runs are kept.
	 * @param startMillis when the new incarnation started, in milliseconds since 1970
	 * @param now the current time in milliseconds
	 */
	void restart(long startMillis, long now) {
		this.incarnationStartMillis = startMillis;
		this.incarnation = new Incarnation();
		this.hasReported = false;
		this.hasReportedAllEnds = false;
		this.firstReportAt = -1;
		this.lease = new WorkerLease();
		this.lastEndNumber = 0;
		this.acknowledged = 0;
		this.forgotten = 0;
		this.unstoredEnds.clear();
		this.unansweredReportRequests = 0;
		this.answeredReportRequestAt = Long.MIN_VALUE;
		this.nextReportRequestAt = now;
		this.hasUnknownRuns = false;
		this.missedReports = 0;
		this.lastReportAt = now;
		this.consecutiveFailures = 0;
		this.faultBelief = new FaultBelief();
		this.drained = false;
		this.incarnationListed = false;
		this.restarted = true;
		this.fencePending = true;
	}

	WorkerIncarnation currentIncarnation() {
		return new WorkerIncarnation(id(), this.incarnationStartMillis);
	}

	/**
	 * Returns the range in which the age of a run lies if the VM has crashed.
	 * @param run a run on this VM
	 * @param now the current time in milliseconds
	 * @return the range
	 */
	AgeRange ageAtCrash(Run run, long now) {
		long lastSignAt = this.runs.values()
			.stream()
			.filter((other) -> other.phase == Run.Phase.RUNNING)
			.mapToLong((other) -> other.phaseSince)
			.max()
			.orElse(0);
		long missedAt = (this.missedReports > 0) ? this.silentSince : now;
		return new AgeRange(Math.max(lastSignAt, this.lastReportAt) - run.startSentAt, missedAt - run.startSentAt);
	}

	WorkerId id() {
		return this.listing.id();
	}

	Resources free() {
		return this.listing.capacity().minus(this.reserved);
	}

	/**
	 * Returns the processor time reserved by tasks other than serving ones. Best-effort
	 * tasks reserve none.
	 * @return thousandths of a core
	 */
	long regularDemand() {
		return this.reserved.milliCores() - this.servingDemand;
	}

	void add(Run run) {
		this.runs.put(run.key(), run);
		StepSpec spec = run.task.spec();
		this.reserved = this.reserved.plus(spec.reserved());
		this.bestEffortDemand += spec.traits().bestEffort() ? spec.size().milliCores() : 0;
		this.servingRuns += spec.serves() ? 1 : 0;
		this.servingDemand += spec.serves() ? spec.size().milliCores() : 0;
		this.longRunningDemand += spec.traits().longRunning() ? spec.reserved().milliCores() : 0;
	}

	void remove(Run run) {
		if (this.runs.remove(run.key()) == null) {
			return;
		}
		if (this.probe == run) {
			this.probe = null;
		}
		StepSpec spec = run.task.spec();
		this.reserved = this.reserved.minus(spec.reserved());
		this.bestEffortDemand -= spec.traits().bestEffort() ? spec.size().milliCores() : 0;
		this.servingRuns -= spec.serves() ? 1 : 0;
		this.servingDemand -= spec.serves() ? spec.size().milliCores() : 0;
		this.longRunningDemand -= spec.traits().longRunning() ? spec.reserved().milliCores() : 0;
	}

	/**
	 * Tells whether a run may go on although its job has ended.
	 * @return {@code true} if the VM has not confirmed the stop of such a run
	 */
	boolean mayRunEndedJob() {
		return this.runs.values().stream().anyMatch((run) -> run.stopConfirmedAt < 0 && !run.task.job.active());
	}

	/**
	 * Counts the runs of a step on this VM.
	 * @param step the step
	 * @return the number of runs
	 */
	int countRuns(StepState step) {
		int count = 0;
		for (Run run : this.runs.values()) {
			if (run.task.step == step) {
				count++;
			}
		}
		return count;
	}

	/**
	 * Tells whether a report has confirmed all runs some time after they started.
	 * @param millis the time in milliseconds
	 * @return {@code false} if a younger run could still crash the VM by its start
	 */
	boolean settled(long millis) {
		return this.missedReports == 0 && this.runs.values()
			.stream()
			.allMatch((run) -> run.phase == Run.Phase.RUNNING && this.lastReportAt - run.phaseSince >= millis);
	}

	boolean hasUnsureRuns() {
		return this.runs.values().stream().anyMatch((run) -> run.phase == Run.Phase.UNSURE);
	}

	boolean acceptsTasks(long now) {
		// The listed capacity and labels are those of the listed incarnation.
		return this.hasReported && this.incarnationListed && this.unlistedSince < 0 && !this.listing.draining()
				&& !this.evacuated && !this.leaseLeftToExpire && this.missedReports == 0 && !this.hasUnknownRuns
				&& now >= this.avoidUntil
				&& (this.consecutiveFailures < WorkerCircuitBreaker.FAILURE_THRESHOLD || this.probe == null);
	}

	void acknowledgeStored() {
		while (!this.unstoredEnds.isEmpty() && this.unstoredEnds.peek().stored()) {
			this.acknowledged = this.unstoredEnds.poll().number;
		}
	}

	/**
	 * Returns the sequence number to acknowledge with the next report request. A VM that
	 * does not answer may be back as another incarnation, which must not forget its own
	 * ends before they are read, so numbers are only sent while the known incarnation
	 * answers, and not again once it has received them.
	 * @return the number; 0 if there is nothing to acknowledge
	 */
	long nextAcknowledgement() {
		return (this.missedReports == 0 && this.acknowledged > this.forgotten) ? this.acknowledged : 0;
	}

	void acknowledgementReceived(long number) {
		this.forgotten = Math.max(this.forgotten, number);
	}

	@Override
	public String toString() {
		return Objects.toString(this.listing.id());
	}

	/**
	 * The identity of an incarnation, used to discard late results of earlier ones.
	 */
	static final class Incarnation {

	}

	/**
	 * A reported end of a run that is not known to be stored.
	 *
	 * @param number the sequence number of the end
	 * @param job the job whose progress includes the end; {@code null} if nothing has to
	 * be stored
	 * @param version the first version of the progress that includes the end
	 */
	record UnstoredEnd(long number, Job job, long version) {

		boolean stored() {
			return this.job == null || this.job.storedVersion >= this.version;
		}

	}

}
