package io.lentilstream.jobs.scheduling;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import io.lentilstream.jobs.JobState;
import io.lentilstream.jobs.StoredSuspicion.AgeRange;
import io.lentilstream.jobs.StoredSuspicion.Loss;
import io.lentilstream.jobs.WorkerIncarnation;
import io.lentilstream.jobs.scheduling.CrashDetector.SuspectRun;

/**
 * The attribution of crashes of VMs to the tasks that ran on them. The job of a task that
 * crashes its VMs fails. A task is held responsible once two VMs have crashed under it,
 * the last one in a trial. Tasks of which all crashes are explained by that are cleared.
 * Load pattern: single tasks that crash each VM that starts them, beside busy neighbours.
 */
final class CrashAttribution {

	/**
	 * The number of crashes from which a trial proves that a task crashes its VMs, if
	 * each crash came right after the start and no other VM fell silent with the last
	 * one.
	 */
	private static final int PROMPT_CRASHES = 2;

	/** The number of certain crashes from which any trial proves it. */
	private static final int OTHER_CRASHES = 3;

	/**
	 * The number of crashes from which a task is held responsible without a trial, since
	 * each further start would lose a VM.
	 */
	private static final int MAX_CRASHES = 4;

	/**
	 * The age of a run from which a crash is not attributed to it, in milliseconds. A
	 * task whose run gets older is cleared of earlier crashes.
	 */
	private static final long MAX_AGE_MILLIS = 10_000;

	/**
	 * The time within which VMs that fall silent may have a common cause, such as a loss
	 * of power, so that a trial proves nothing, in milliseconds.
	 */
	private static final long COMMON_CAUSE_MILLIS = 1000;

	/** The age of a run whose start a predecessor planned. */
	private static final AgeRange UNKNOWN_AGE = new AgeRange(0, MAX_AGE_MILLIS);

	private final SchedulerState state;

	private final JobProgression progression;

	CrashAttribution(SchedulerState state, JobProgression progression) {
		this.state = state;
		this.progression = progression;
	}

	/**
	 * Handles the crash of a VM that was not draining.
	 * @param incarnation the incarnation that crashed
	 * @param runs the runs that were known to be on the VM
	 * @param undecided the tasks of which it is not known yet whether they were on it
	 * @param now the current time in milliseconds
	 * @return the number of tasks to which the crash was attributed
	 */
	int handleCrash(WorkerIncarnation incarnation, List<SuspectRun> runs, Set<Task> undecided, long now) {
		Set<Task> onTrial = new HashSet<>();
		runs.stream().filter(SuspectRun::onTrial).forEach((run) -> onTrial.add(run.task()));
		Set<Task> suspects = attribute(incarnation, runs, undecided, onTrial);
		suspects.forEach(this::suspect);
		boolean othersToo = othersFellSilentWith(incarnation);
		for (Task task : suspects) {
			if (task.unfinished() && responsible(task, onTrial.contains(task), othersToo)) {
				holdResponsible(task, now);
			}
		}
		return suspects.size();
	}

	// Adds the tasks whose recorded loss was a trial to those on trial.
	private Set<Task> attribute(WorkerIncarnation incarnation, List<SuspectRun> runs, Set<Task> undecided,
			Set<Task> onTrial) {
		Set<Task> suspects = new LinkedHashSet<>();
		for (SuspectRun run : runs) {
			if (run.age().minMillis() < MAX_AGE_MILLIS && run.task().unfinished()) {
				run.task().suspicion.addCrash(incarnation, run.age());
				suspects.add(run.task());
			}
		}
		for (Task task : this.state.suspects) {
			Loss loss = task.suspicion.loss(incarnation);
			boolean mayHaveRun = loss != null || task.suspicion.mayHaveBeenPlannedOn(incarnation);
			if (!mayHaveRun || !task.unfinished() || undecided.contains(task) || !suspects.add(task)) {
				continue;
			}
			if (loss != null && loss.onTrial()) {
				onTrial.add(task);
			}
			task.suspicion.addCrash(incarnation, (loss != null) ? loss.age() : UNKNOWN_AGE);
		}
		return suspects;
	}

	private static boolean responsible(Task task, boolean onTrial, boolean othersToo) {
		int crashes = task.suspicion.crashes().size();
		if (!onTrial || !task.suspicion.consistent()) {
			return crashes >= MAX_CRASHES;
		}
		boolean prompt = !othersToo && crashes >= PROMPT_CRASHES && task.suspicion.prompt();
		return prompt || task.suspicion.certainCrashes() >= OTHER_CRASHES || crashes >= MAX_CRASHES;
	}

	private void suspect(Task task) {
		this.state.suspects.add(task);
		this.state.markChanged(task.job);
		this.state.urgentChange = true;
	}

	private boolean othersFellSilentWith(WorkerIncarnation incarnation) {
		Worker worker = this.state.workers.get(incarnation.worker());
		return worker == null || this.state.workers.values()
			.stream()
			.anyMatch((other) -> other != worker
					&& Math.abs(other.silentWithoutTrialSince - worker.silentSince) < COMMON_CAUSE_MILLIS);
	}

	private void holdResponsible(Task task, long now) {
		Set<WorkerIncarnation> explained = Set.copyOf(task.suspicion.crashes().keySet());
		this.progression.endJob(task.job, JobState.FAILED, explained.size() + " VMs crashed under task " + task.name,
				now);
		for (Task other : this.state.suspects) {
			if (other.unfinished() && !other.suspicion.crashes().isEmpty()
					&& explained.containsAll(other.suspicion.crashes().keySet())) {
				other.suspicion.clearCrashes();
				this.state.markChanged(other.job);
			}
		}
		this.state.suspects.removeIf((suspect) -> !suspect.unfinished() || suspect.suspicion.none());
	}

	/**
	 * Records the runs on a silent VM, in case it has crashed.
	 * @param worker the VM
	 * @param runs the runs
	 */
	void addLosses(Worker worker, List<SuspectRun> runs) {
		for (SuspectRun run : runs) {
			if (run.age().minMillis() < MAX_AGE_MILLIS && run.task().unfinished()) {
				run.task().suspicion
					.addLoss(new Loss(worker.currentIncarnation(), worker.listing.address(), run.age(), run.onTrial()));
				this.state.suspects.add(run.task());
				this.state.markChanged(run.task().job);
				this.state.urgentChange = true;
			}
		}
	}

	/**
	 * Removes the losses of a VM that has not crashed.
	 * @param incarnation the incarnation
	 */
	void removeLosses(WorkerIncarnation incarnation) {
		// Not stored, since a successor finds the same out from a report.
		this.state.suspects.forEach((task) -> task.suspicion.removeLoss(incarnation));
		this.state.suspects.removeIf((task) -> task.suspicion.none());
	}

	/**
	 * Returns the losses of VMs at an address.
	 * @param address the address
	 * @return the losses, one for each incarnation
	 */
	Set<Loss> lossesAt(InetSocketAddress address) {
		Set<WorkerIncarnation> incarnations = new HashSet<>();
		Set<Loss> losses = new LinkedHashSet<>();
		for (Task task : this.state.suspects) {
			for (Loss loss : task.suspicion.lossesAt(address)) {
				if (incarnations.add(loss.incarnation())) {
					losses.add(loss);
				}
			}
		}
		return losses;
	}

	/**
	 * Clears a task of earlier crashes once a run of it has become old enough.
	 * @param run a run that its VM has reported to be in progress
	 * @param sent when the report was requested, in milliseconds
	 */
	void clearIfOld(Run run, long sent) {
		if (!run.task.suspicion.none() && sent - run.phaseSince >= MAX_AGE_MILLIS) {
			this.state.log.append("task-cleared", run.task.name, "worker", run.worker, "crashes",
					run.task.suspicion.crashes().size());
			run.task.suspicion.clear();
			this.state.suspects.remove(run.task);
			this.state.markChanged(run.task.job);
		}
	}

}
