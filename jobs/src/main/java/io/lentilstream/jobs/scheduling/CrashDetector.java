package io.lentilstream.jobs.scheduling;

import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import io.lentilstream.jobs.StoredSuspicion.AgeRange;
import io.lentilstream.jobs.StoredSuspicion.Loss;
import io.lentilstream.jobs.WorkerIncarnation;

/**
 * A detector of crashed incarnations of VMs. One has crashed if a later incarnation
 * reports under its id or at its address, and it was not draining. Silence alone is no
 * crash, since the VM may be cut off. Load pattern: VMs that crash and are back after
 * seconds, many of them under a new id.
 */
final class CrashDetector {

	private static final int MAX_LOGGED_RUNS = 4;

	private final SchedulerState state;

	private final RunEndHandler runEndHandler;

	private final CrashAttribution crashAttribution;

	CrashDetector(SchedulerState state, RunEndHandler runEndHandler, CrashAttribution crashAttribution) {
		this.state = state;
		this.runEndHandler = runEndHandler;
		this.crashAttribution = crashAttribution;
	}

	/**
	 * Handles the first report of an incarnation, which proves that no earlier one runs
	 * at its address.
	 * @param successor the VM that reported
	 */
	void firstReportReceived(Worker successor) {
		regained(successor);
		for (Worker worker : List.copyOf(this.state.workers.values())) {
			if ((worker.missedReports > 0 || !worker.hasReported) && precedes(worker, successor)) {
				replaced(worker, successor);
			}
		}
		for (Loss loss : this.crashAttribution.lossesAt(successor.listing.address())) {
			WorkerIncarnation lost = loss.incarnation();
			if (lost.startMillis() < successor.incarnationStartMillis()) {
				int runs = this.crashAttribution.handleCrash(lost, List.of(), undecidedTasks(successor),
						this.state.now());
				this.state.log.append("worker-crashed", lost.worker(), "born-ms", lost.startMillis(), "evidence",
						"replaced by " + successor.id() + " after its leases had ended", "runs", runs);
			}
		}
	}

	/**
	 * Handles the first missed report of a VM. Its runs are recorded at once, since a
	 * successor would not know them.
	 * @param worker the VM
	 */
	void fellSilent(Worker worker) {
		if (!worker.drained && worker.incarnationListed) {
			this.crashAttribution.addLosses(worker, runsOf(worker));
		}
		for (Worker successor : this.state.workers.values()) {
			if (successor.hasReported && successor.missedReports == 0 && precedes(worker, successor)) {
				replaced(worker, successor);
				return;
			}
		}
	}

	private static boolean precedes(Worker worker, Worker successor) {
		return !worker.replaced && worker.listing.address().equals(successor.listing.address())
				&& worker.incarnationStartMillis() < successor.incarnationStartMillis();
	}

	private void replaced(Worker worker, Worker successor) {
		worker.replaced = true;
		List<SuspectRun> runs = runsOf(worker);
		logCrash(worker, runs, "replaced by " + successor.id());
		for (Run run : List.copyOf(worker.runs.values())) {
			this.runEndHandler.handleLost(run, "VM crashed", this.state.now());
		}
		attribute(worker, runs);
	}

	/**
	 * Handles a later incarnation of a VM under the same id. Must be called before the
	 * state of the earlier one is reset.
	 * @param worker the VM
	 */
	void restarted(Worker worker) {
		logCrash(worker, runsOf(worker), "restarted");
		for (Run run : worker.runs.values()) {
			if (!run.reported && !worker.drained) {
				run.undecidedCrash = new UndecidedCrash(worker.currentIncarnation(),
						worker.incarnationListed ? List.of(suspectRun(worker, run)) : List.of());
			}
		}
		attribute(worker,
				worker.runs.values()
					.stream()
					.filter((run) -> run.reported)
					.map((run) -> suspectRun(worker, run))
					.toList());
	}

	/**
	 * Handles that the current incarnation of a VM has started a run, so that the former
	 * one never had it.
	 * @param run the run
	 */
	void startedByCurrentIncarnation(Run run) {
		if (run.undecidedCrash == null) {
			return;
		}
		run.task.suspicion.removeLoss(run.undecidedCrash.incarnation());
		if (run.task.suspicion.none()) {
			this.state.suspects.remove(run.task);
		}
		run.undecidedCrash = null;
	}

	/**
	 * Handles that the current incarnation of a VM has not started a run, so that the
	 * former one may have crashed under it.
	 * @param run the run
	 */
	void notStartedByCurrentIncarnation(Run run) {
		if (run.undecidedCrash == null) {
			return;
		}
		UndecidedCrash crash = run.undecidedCrash;
		run.undecidedCrash = null;
		this.crashAttribution.handleCrash(crash.incarnation(), crash.runs(), undecidedTasks(run.worker),
				this.state.now());
	}

	private static Set<Task> undecidedTasks(Worker worker) {
		return worker.runs.values()
			.stream()
			.filter((run) -> run.undecidedCrash != null)
			.map((run) -> run.task)
			.collect(Collectors.toSet());
	}

	/**
	 * Handles a report of a VM that was only silent.
	 * @param worker the VM
	 */
	void regained(Worker worker) {
		this.crashAttribution.removeLosses(worker.currentIncarnation());
	}

	private void attribute(Worker worker, List<SuspectRun> runs) {
		if (worker.drained) {
			this.crashAttribution.removeLosses(worker.currentIncarnation());
			return;
		}
		// A VM that this scheduler never saw in the list may have been draining. Losses
		// that a predecessor recorded count, since it saw the VM.
		this.crashAttribution.handleCrash(worker.currentIncarnation(), worker.incarnationListed ? runs : List.of(),
				undecidedTasks(worker), this.state.now());
	}

	private List<SuspectRun> runsOf(Worker worker) {
		return worker.runs.values().stream().map((run) -> suspectRun(worker, run)).toList();
	}

	private SuspectRun suspectRun(Worker worker, Run run) {
		return new SuspectRun(run.task, worker.ageAtCrash(run, this.state.now()), run.onTrial);
	}

	private void logCrash(Worker worker, List<SuspectRun> runs, String evidence) {
		List<String> youngest = runs.stream()
			.sorted(Comparator.comparingLong((SuspectRun run) -> run.age().minMillis()))
			.limit(MAX_LOGGED_RUNS)
			.map((run) -> run.task().name + " age " + run.age().minMillis() + " to " + run.age().maxMillis())
			.toList();
		this.state.log.append("worker-crashed", worker, "born-ms", worker.incarnationStartMillis(), "evidence",
				evidence, "draining", worker.drained, "runs", runs.size(), "silent-ms",
				this.state.now() - worker.lastReportAt, "youngest", youngest);
	}

	/**
	 * A run that may have crashed its VM.
	 *
	 * @param task the task
	 * @param age its age at the crash
	 * @param onTrial whether it was started apart from other starts
	 */
	record SuspectRun(Task task, AgeRange age, boolean onTrial) {
	}

	/**
	 * The crash of an incarnation under a run that it may not have started.
	 *
	 * @param incarnation the incarnation
	 * @param runs the run, or nothing if the incarnation may have been draining
	 */
	record UndecidedCrash(WorkerIncarnation incarnation, List<SuspectRun> runs) {
	}

}
