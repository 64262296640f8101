package io.lentilstream.jobs.scheduling;

import java.util.Optional;

import io.lentilstream.model.JobId;

/**
 * Tells whether the tasks of a cancelled job stop in time whatever happens to this
 * scheduler, so that the cancellation may be acknowledged. Load pattern: jobs are
 * cancelled while leaders are lost one after the other, so that nobody repeats a stop.
 */
final class StopGuarantee {

	/**
	 * The shortest time that any deployment allows between the acknowledgement of a
	 * cancellation and the end of the tasks, in milliseconds: 3 s until the stop, and 0.2
	 * s for it.
	 */
	private static final long MAX_STOP_MILLIS = 3200;

	/**
	 * The age of a cancellation from which on the reason for a missing guarantee is
	 * logged, in milliseconds.
	 */
	private static final long LOGGED_AGE_MILLIS = 500;

	private static final String NOT_REPORTED = "VM has not reported since the takeover";

	private final SchedulerState state;

	private final TakeoverTracker takeover;

	private final EndedJobs endedJobs;

	StopGuarantee(SchedulerState state, TakeoverTracker takeover, EndedJobs endedJobs) {
		this.endedJobs = endedJobs;
		this.state = state;
		this.takeover = takeover;
	}

	/**
	 * Tells whether all runs of a job are stopped, or end with their leases in time.
	 * Marks the VMs whose leases must not be extended for that.
	 * @param id the job
	 * @param now the current time in milliseconds
	 * @return {@code false} if a run may go on for too long, or the job has not ended
	 */
	boolean holds(JobId id, long now) {
		Job job = this.state.jobs.get(id);
		if (job != null) {
			return !job.active() && holds(job, now);
		}
		EndedJob ended = this.endedJobs.find(id);
		// All stored jobs are loaded, so no leader has started a task of an unknown one.
		return ended == null || holds(id, ended, now);
	}

	private boolean holds(Job job, long now) {
		boolean unreportedRuns = job.mayHaveUnreportedRuns();
		for (Worker worker : this.state.workers.values()) {
			Optional<String> risk = findRisk(job, worker, unreportedRuns);
			if (risk.isPresent() && !lapsesInTime(worker, now)) {
				if (!job.missingStopLogged && now - job.endedAt >= LOGGED_AGE_MILLIS) {
					job.missingStopLogged = true;
					log(job.id(), worker, risk.get(), now - job.endedAt, now);
				}
				return false;
			}
			worker.leaseEndGuaranteed |= risk.isPresent();
		}
		return true;
	}

	private boolean holds(JobId id, EndedJob job, long now) {
		for (Worker worker : this.state.workers.values()) {
			Optional<String> risk = findRisk(job, worker);
			if (risk.isPresent() && !lapsesInTime(worker, now)) {
				if (!job.missingStopLogged && now - job.endedAt >= LOGGED_AGE_MILLIS) {
					job.missingStopLogged = true;
					log(id, worker, risk.get(), now - job.endedAt, now);
				}
				return false;
			}
			worker.leaseEndGuaranteed |= risk.isPresent();
		}
		return true;
	}

	private Optional<String> findRisk(EndedJob job, Worker worker) {
		if (job.mayHaveUnreportedRuns && awaitsFirstReport(worker)) {
			return Optional.of(NOT_REPORTED);
		}
		// Runs of jobs that have ended earlier are unknown to this scheduler.
		return worker.hasUnknownRuns ? Optional.of("VM has unknown runs") : Optional.empty();
	}

	private Optional<String> findRisk(Job job, Worker worker, boolean unreportedRuns) {
		if (unreportedRuns && awaitsFirstReport(worker)) {
			return Optional.of(NOT_REPORTED);
		}
		return worker.runs.values()
			.stream()
			.filter((run) -> run.task.job == job && run.stopConfirmedAt < 0)
			.findFirst()
			.map((run) -> "stop of " + run.task.name + " is not confirmed");
	}

	private boolean awaitsFirstReport(Worker worker) {
		return !worker.hasReported && this.takeover.waitsFor(worker.id());
	}

	private boolean lapsesInTime(Worker worker, long now) {
		if (awaitsFirstReport(worker)) {
			return this.takeover.leaseRemainingMillis(worker.id(), now) <= MAX_STOP_MILLIS;
		}
		return worker.missedReports > 0 && worker.lease.clockKnown()
				&& worker.lease.remainingMillis(now) <= MAX_STOP_MILLIS;
	}

	private void log(JobId job, Worker worker, String risk, long age, long now) {
		this.state.log.append("cancellation-pending", job, "worker", worker, "reason", risk, "age-ms", age, "silent-ms",
				now - worker.lastReportAt, "lease-ms", worker.lease.remainingMillis(now));
	}

}
