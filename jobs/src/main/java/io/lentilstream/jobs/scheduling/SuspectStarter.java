package io.lentilstream.jobs.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import io.lentilstream.jobs.WorkerIncarnation;

/**
 * A starter of tasks that may have crashed a VM. Each start is stored first, so that a
 * successor can attribute its crash. A task that has to be on trial starts apart from
 * other starts on its VM, so that a crash tells which task caused it, and on the stable
 * VM with the fewest runs. Load pattern: single tasks that crash each VM that starts
 * them, beside innocent tasks that were lost with the same VM.
 */
final class SuspectStarter {

	/** The number of VMs for each trial at a time. */
	private static final int WORKERS_PER_TRIAL = 4;

	/** The age from which a run has not crashed its VM by its start, in milliseconds. */
	private static final long SETTLED_MILLIS = 300;

	/**
	 * How long a VM may take until its other runs are that old, in milliseconds.
	 */
	private static final long MAX_PREPARATION_MILLIS = 2000;

	/**
	 * How long a task under which a single VM has crashed waits for a trial before it
	 * starts without one, in milliseconds.
	 */
	private static final long MAX_WAIT_MILLIS = 1500;

	/**
	 * The number of VMs that have crashed or fallen silent under a task from which it
	 * waits until the fate of the silent ones is known.
	 */
	private static final int MAX_OPEN_CRASHES = 3;

	/** The longest such wait, in milliseconds. */
	private static final long MAX_HOLD_MILLIS = 10_000;

	/** The time in which a VM that crashes by itself mostly does so, in milliseconds. */
	private static final long STABLE_AFTER_MILLIS = 15_000;

	private final SchedulerState state;

	private final WorkerSelector workerSelector;

	private final RunStarter runStarter;

	/** The tasks with a planned start. */
	private final List<Task> planned = new ArrayList<>();

	SuspectStarter(SchedulerState state, WorkerSelector workerSelector, RunStarter runStarter) {
		this.state = state;
		this.workerSelector = workerSelector;
		this.runStarter = runStarter;
	}

	/**
	 * Tells whether a task may only be started by this class.
	 * @param task the task
	 * @return {@code true} if it may have crashed a VM
	 */
	static boolean handles(Task task) {
		return !task.suspicion.crashes().isEmpty() && !task.spec().traits().gang();
	}

	/**
	 * Plans the start of a waiting task, or starts it once the plan is stored and its VM
	 * is ready.
	 * @param task the task
	 * @param now the current time in milliseconds
	 */
	void advance(Task task, long now) {
		if (task.plannedStart != null && !this.workerSelector.eligible(task, task.plannedStart.worker, "", now)) {
			discard(task);
		}
		if (task.plannedStart == null) {
			if (!task.suspicion.mayHaveCrashed(MAX_OPEN_CRASHES) || now - task.waitingSince > MAX_HOLD_MILLIS) {
				plan(task, now);
			}
			return;
		}
		PlannedStart plan = task.plannedStart;
		if (task.job.storedVersion < plan.version || plan.trial && !plan.worker.settled(SETTLED_MILLIS)) {
			return;
		}
		this.runStarter.start(task, plan.worker, this.runStarter.nextRunNumber(task), now);
		plan.run = task.runs.get(task.runs.size() - 1);
		plan.run.onTrial = plan.trial;
		if (!plan.trial) {
			discard(task);
		}
	}

	private void plan(Task task, long now) {
		boolean mayWait = task.suspicion.crashes().size() > 1 || now - task.waitingSince < MAX_WAIT_MILLIS;
		boolean trial = mayWait && task.suspicion.needsTrial();
		Worker worker = trial ? chooseForTrial(task, now)
				: this.workerSelector.choose(task, this.state.workers.values(), "", now);
		if (worker == null) {
			return;
		}
		worker.keptFor = task;
		this.state.markChanged(task.job);
		this.state.urgentChange = true;
		task.plannedStart = new PlannedStart(worker, trial, task.job.version, now + MAX_PREPARATION_MILLIS);
		this.planned.add(task);
		this.state.log.append("suspect-planned", task.name, "worker", worker, "trial", trial, "runs",
				worker.runs.size(), "crashes", task.suspicion.crashes().size());
	}

	private Worker chooseForTrial(Task task, long now) {
		long trials = this.planned.stream().filter((other) -> other.plannedStart.trial).count();
		boolean limitReached = trials >= Math.max(1, this.state.workers.size() / WORKERS_PER_TRIAL);
		boolean deadlyJobPossible = !task.job.trialPassed
				&& this.planned.stream().anyMatch((other) -> other.job == task.job);
		if (limitReached || deadlyJobPossible) {
			return null;
		}
		// A VM that has just started may be one that crashes by itself.
		Comparator<Worker> order = Comparator
			.comparing((Worker worker) -> now - worker.firstReportAt < STABLE_AFTER_MILLIS)
			.thenComparing((worker) -> worker.runs.size());
		return this.state.workers.values()
			.stream()
			.filter((worker) -> !worker.hasUnsureRuns() && this.workerSelector.eligible(task, worker, "", now))
			.min(order)
			.orElse(null);
	}

	/**
	 * Discards the plans that are over: those of ended runs and jobs, and those whose VM
	 * is not ready in time. Must be called before each placement pass.
	 * @param now the current time in milliseconds
	 */
	void discardEnded(long now) {
		for (Task task : List.copyOf(this.planned)) {
			PlannedStart plan = task.plannedStart;
			boolean ended = (plan.run != null) ? !task.runs.contains(plan.run) : now > plan.prepareUntil;
			if (ended || !task.unfinished() || plan.worker.replaced) {
				discard(task);
			}
		}
	}

	/**
	 * Ends the trial of a run that has lasted long enough.
	 * @param run a run that its VM has reported to be in progress
	 * @param sent when the report was requested, in milliseconds
	 */
	void passTrialIfOld(Run run, long sent) {
		if (run.onTrial && sent - run.phaseSince >= run.task.suspicion.trialMillis()) {
			run.onTrial = false;
			run.task.suspicion.passTrial();
			run.task.job.trialPassed = true;
			discard(run.task);
			this.state.log.append("trial-passed", run.task.name, "worker", run.worker, "run", run.number);
		}
	}

	private void discard(Task task) {
		if (task.plannedStart == null) {
			return;
		}
		if (task.plannedStart.worker.keptFor == task) {
			task.plannedStart.worker.keptFor = null;
		}
		task.plannedStart = null;
		this.planned.remove(task);
	}

	/**
	 * A start of a task that is stored before it is ordered.
	 */
	static final class PlannedStart {

		final Worker worker;

		/** The incarnation of the VM for which the start is planned. */
		final WorkerIncarnation incarnation;

		final boolean trial;

		/** The first version of the job's progress that includes the plan. */
		private final long version;

		private final long prepareUntil;

		/** The run; {@code null} until it is started. */
		private Run run;

		PlannedStart(Worker worker, boolean trial, long version, long prepareUntil) {
			this.worker = worker;
			this.incarnation = worker.currentIncarnation();
			this.trial = trial;
			this.version = version;
			this.prepareUntil = prepareUntil;
		}

	}

}
