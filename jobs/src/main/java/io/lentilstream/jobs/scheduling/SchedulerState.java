package io.lentilstream.jobs.scheduling;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.LongSupplier;

import io.lentilstream.jobs.DecisionLog;
import io.lentilstream.jobs.TaskName;
import io.lentilstream.jobs.WorkerCommands;
import io.lentilstream.jobs.WorkerId;
import io.lentilstream.model.JobId;

/**
 * The state that the components of a scheduler share.
 */
final class SchedulerState {

	final SchedulerSettings settings;

	final WorkerCommands commands;

	final DecisionLog log;

	/** The monotonic clock of this process, in milliseconds. */
	final LongSupplier clock;

	final LeadershipLease leadershipLease;

	final RunTimeRecorder runTimes;

	final Map<JobId, Job> jobs = new LinkedHashMap<>();

	final Map<WorkerId, Worker> workers = new LinkedHashMap<>();

	final TreeSet<Task> waiting = new TreeSet<>(new WaitingTaskComparator());

	final TaskFeeder taskFeeder = new TaskFeeder(this);

	final FirstStartDebouncer firstStartDebouncer = new FirstStartDebouncer();

	/** The jobs with changes that have not been handed out to be stored. */
	final LinkedHashSet<Job> changedJobs = new LinkedHashSet<>();

	/** The tasks that may have crashed a VM. */
	final Set<Task> suspects = new LinkedHashSet<>();

	/** The number of start commands to all VMs that have not been answered. */
	int startsInFlight;

	/** Whether there is a change to be stored for which a caller may be waiting. */
	boolean urgentChange;

	/** Whether the first task of an occurrence waits for a change to be stored. */
	boolean firstStartWaiting;

	/**
	 * Whether only the leases of running tasks are extended, since a successor may be
	 * elected at any time.
	 */
	boolean holdOnly;

	/** Whether a VM has accepted commands from a newer scheduler. */
	boolean fenced;

	SchedulerState(SchedulerSettings settings, WorkerCommands commands, DecisionLog log, LongSupplier clock,
			LeadershipLease leadershipLease) {
		this.settings = settings;
		this.commands = commands;
		this.log = log;
		this.clock = clock;
		this.leadershipLease = leadershipLease;
		this.runTimes = new RunTimeRecorder(settings, log);
	}

	long now() {
		return this.clock.getAsLong();
	}

	long extendLease(Worker worker, long now) {
		long latestEnd = this.leadershipLease.leaderUntil().getAsLong() + this.settings.leaseAfterLeadershipMillis();
		return worker.lease.extend(now, this.settings.maxLeaseMillis(), latestEnd);
	}

	/**
	 * Keeps a VM that has restarted from carrying out earlier commands, if that is
	 * possible already.
	 * @param worker the VM
	 * @param now the current time in milliseconds
	 */
	void raiseFenceIfPending(Worker worker, long now) {
		if (worker.fencePending && this.leadershipLease.fence().raise(worker.id())) {
			worker.fencePending = false;
			worker.fencedAt = now;
		}
	}

	/**
	 * Handles that a VM refused a command because of its fencing token.
	 * @param worker the VM
	 * @param sent when the command was sent, in milliseconds
	 */
	void handleFenced(Worker worker, long sent) {
		// Earlier commands are refused because this scheduler has raised the fence.
		this.fenced |= sent > worker.fencedAt;
	}

	Task findTask(TaskName name) {
		Job job = this.jobs.get(name.job());
		return (job != null) ? job.findTask(name.occurrence(), name.step(), name.index()) : null;
	}

	void addWaiting(Task task) {
		if (!this.waiting.contains(task)) {
			task.hasRunBefore = task.lastRun > 0;
			task.waitingSince = now();
			task.timer.enterWait(!task.checkpoint.isEmpty(), task.waitingSince);
			this.waiting.add(task);
		}
	}

	/**
	 * Tells whether a task may be started, and requests a record of its occurrence in the
	 * store if there is none yet.
	 * @param task the task
	 * @return {@code false} until the record is stored
	 */
	boolean recordBeforeFirstStart(Task task) {
		Job job = task.job;
		if (task.step.occurrence < job.recordedOccurrences) {
			return true;
		}
		if (task.step.occurrence >= job.requestedOccurrences) {
			job.requestedOccurrences = job.nextOccurrence;
			markChanged(job);
			this.firstStartWaiting = true;
		}
		return false;
	}

	void markChanged(Job job) {
		job.version++;
		this.changedJobs.add(job);
	}

}
