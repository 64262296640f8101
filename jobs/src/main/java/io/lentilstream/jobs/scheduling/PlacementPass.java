package io.lentilstream.jobs.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.lentilstream.jobs.StepSpec;
import io.lentilstream.model.Resources;
import io.lentilstream.model.ServiceName;

/**
 * Goes through the waiting tasks in order and starts those that fit. A step that does not
 * fit is skipped, so that it does not block smaller tasks behind it. The members of a
 * gang start together or not at all.
 */
final class PlacementPass {

	private static final String ANY_RACK = "";

	private final SchedulerState state;

	private final WorkerSelector workerSelector;

	private final RunStarter runStarter;

	PlacementPass(SchedulerState state, WorkerSelector workerSelector, RunStarter runStarter) {
		this.state = state;
		this.workerSelector = workerSelector;
		this.runStarter = runStarter;
	}

	/**
	 * Starts the waiting tasks for which there is capacity.
	 * @param now the current time in milliseconds
	 */
	void run(long now) {
		Set<StepState> blockedSteps = new HashSet<>();
		Map<Requirements, Resources> refusedSizes = new HashMap<>();
		for (Task task : List.copyOf(this.state.waiting)) {
			if (task.notBefore > now || blockedSteps.contains(task.step) || !this.state.waiting.contains(task)
					|| this.state.firstStartDebouncer.defers(task, now)) {
				continue;
			}
			Requirements requirements = Requirements.of(task);
			Resources smallestRefused = refusedSizes.get(requirements);
			if (smallestRefused != null && smallestRefused.fitsWithin(task.spec().size())) {
				continue;
			}
			boolean started = task.spec().traits().gang() ? startGang(task.step, now) : start(task, now);
			if (!started) {
				blockedSteps.add(task.step);
				if (requirements.comparable()) {
					refusedSizes.put(requirements, task.spec().size());
				}
			}
		}
	}

	/**
	 * Moves tasks that can no longer start in time for their objective to the position
	 * among the waiting tasks that the lateness of their job gives them.
	 * @param now the current time in milliseconds
	 */
	void reorder(long now) {
		for (Task task : List.copyOf(this.state.waiting)) {
			if (task.dueAt < now && task.dueAt != Long.MAX_VALUE) {
				this.state.waiting.remove(task);
				task.dueAt = (task.lateDueAt >= now) ? task.lateDueAt : Long.MAX_VALUE;
				this.state.waiting.add(task);
			}
		}
	}

	private boolean start(Task task, long now) {
		String rack = task.spec().placement().sameRack() ? rackOf(task.step) : ANY_RACK;
		Worker worker = this.workerSelector.choose(task, this.state.workers.values(), rack, now);
		if (worker == null && !rack.isEmpty()) {
			worker = this.workerSelector.choose(task, this.state.workers.values(), ANY_RACK, now);
		}
		if (worker == null) {
			return false;
		}
		this.runStarter.start(task, worker, this.runStarter.nextRunNumber(task), now);
		return true;
	}

	private static String rackOf(StepState step) {
		for (Task task : step.tasks) {
			if (!task.runs.isEmpty()) {
				return task.runs.get(0).worker.listing.rack();
			}
		}
		return ANY_RACK;
	}

	private boolean startGang(StepState step, long now) {
		if (!step.tasks.stream().allMatch((task) -> task.startable() && task.notBefore <= now)) {
			return false;
		}
		Map<Task, Worker> assignments = Map.of();
		if (step.spec.placement().sameRack()) {
			for (String rack : racks()) {
				assignments = assignWorkers(step, rack, now);
				if (!assignments.isEmpty()) {
					break;
				}
			}
		}
		if (assignments.isEmpty()) {
			assignments = assignWorkers(step, ANY_RACK, now);
		}
		int number = step.tasks.stream().mapToInt(this.runStarter::nextRunNumber).max().orElse(0);
		for (Map.Entry<Task, Worker> assignment : assignments.entrySet()) {
			this.runStarter.start(assignment.getKey(), assignment.getValue(), number, now);
		}
		return !assignments.isEmpty();
	}

	private Set<String> racks() {
		Set<String> racks = new LinkedHashSet<>();
		this.state.workers.values().forEach((worker) -> racks.add(worker.listing.rack()));
		racks.remove(ANY_RACK);
		return racks;
	}

	// Reserves capacity temporarily, so that no two members are assigned the same.
	private Map<Task, Worker> assignWorkers(StepState step, String rack, long now) {
		Map<Task, Worker> assignments = new LinkedHashMap<>();
		List<Run> reserved = new ArrayList<>();
		for (Task task : step.tasks) {
			Worker worker = this.workerSelector.choose(task, this.state.workers.values(), rack, now);
			if (worker == null) {
				assignments.clear();
				break;
			}
			Run run = new Run(task, 0, worker, now);
			worker.add(run);
			reserved.add(run);
			assignments.put(task, worker);
		}
		reserved.forEach((run) -> run.worker.remove(run));
		return assignments;
	}

	/**
	 * The requirements of a task on its VM. If no VM fits a task, then none fits a task
	 * with the same requirements that is at least as large.
	 *
	 * @param service the service whose VMs may run the task
	 * @param kind whether the task is best-effort or long-running
	 * @param image the image of a best-effort task, which determines where it interferes;
	 * empty for other tasks
	 * @param placement the placement constraints
	 */
	private record Requirements(ServiceName service, String kind, String image, StepSpec.Placement placement) {

		static Requirements of(Task task) {
			StepSpec spec = task.spec();
			String kind = spec.traits().bestEffort() ? "filling" : String.valueOf(spec.traits().longRunning());
			return new Requirements(task.job.policy.service(), kind, spec.traits().bestEffort() ? spec.image() : "",
					spec.placement());
		}

		boolean comparable() {
			return this.placement.maxPerWorker() == 0 && !this.placement.sameRack();
		}

	}

}
