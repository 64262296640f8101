package io.lentilstream.jobs.scheduling;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.LongSupplier;

import io.lentilstream.jobs.DecisionLog;
import io.lentilstream.jobs.TaskName;
import io.lentilstream.jobs.WorkerCommands;
import io.lentilstream.jobs.WorkerId;
import io.lentilstream.model.JobId;

/**
 * What the rules of one scheduler share.
 */
final class SchedulerState {

	final SchedulerSettings settings;

	final WorkerCommands orders;

	final DecisionLog log;

	/** Steady clock of this process, in milliseconds. */
	final LongSupplier clock;

	final LeadershipLease mandate;

	final Map<JobId, Job> jobs = new LinkedHashMap<>();

	final Map<WorkerId, Worker> workers = new LinkedHashMap<>();

	final TreeSet<Task> waiting = new TreeSet<>(new WaitingTaskComparator());

	final FirstStartDebouncer gathering = new FirstStartDebouncer();

	/** Jobs with changes that are not handed out for storing. */
	final LinkedHashSet<Job> changed = new LinkedHashSet<>();

	/** Whether a change waits that callers are waiting for. */
	boolean urgentChange;

	/** Whether a VM has taken orders from a newer scheduler. */
	boolean fenced;

	SchedulerState(SchedulerSettings settings, WorkerCommands orders, DecisionLog log, LongSupplier clock,
			LeadershipLease mandate) {
		this.settings = settings;
		this.orders = orders;
		this.log = log;
		this.clock = clock;
		this.mandate = mandate;
	}

	long now() {
		return this.clock.getAsLong();
	}

	long extendLease(Worker worker, long now) {
		long longest = this.settings.maxLeaseMillis();
		return worker.lease.extend(now, longest, this.mandate.leaderUntil().getAsLong() + longest);
	}

	Task find(TaskName name) {
		Job job = this.jobs.get(name.job());
		return (job != null) ? job.find(name.occurrence(), name.step(), name.index()) : null;
	}

	void await(Task task) {
		if (!this.waiting.contains(task)) {
			task.restarts = task.lastRun > 0;
			this.waiting.add(task);
		}
	}

	void changed(Job job) {
		job.version++;
		this.changed.add(job);
	}

}
