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
 * Goes through the waiting tasks in order and starts what fits. A step that does not fit
 * is passed over, so that smaller work behind it is not held up; the members of a gang
 * start together or not at all.
 */
final class PlacementPass {

	private static final String ANY_RACK = "";

	private final SchedulerState state;

	private final WorkerSelector placement;

	private final RunStarter starts;

	PlacementPass(SchedulerState state, WorkerSelector placement, RunStarter starts) {
		this.state = state;
		this.placement = placement;
		this.starts = starts;
	}

	/**
	 * Starts what can be started.
	 * @param now the current time in milliseconds
	 */
	void run(long now) {
		Set<StepState> full = new HashSet<>();
		Map<Need, Resources> refused = new HashMap<>();
		for (Task task : List.copyOf(this.state.waiting)) {
			if (task.notBefore > now || full.contains(task.step) || !this.state.waiting.contains(task)
					|| this.state.gathering.holds(task, now)) {
				continue;
			}
			Need need = Need.of(task);
			Resources least = refused.get(need);
			if (least != null && least.fitsWithin(task.spec().size())) {
				continue;
			}
			boolean started = task.spec().traits().gang() ? startGang(task.step, now) : start(task, now);
			if (!started) {
				full.add(task.step);
				if (need.comparable()) {
					refused.put(need, task.spec().size());
				}
			}
		}
	}

	/**
	 * Moves tasks that have missed the start for their objective to the place in the
	 * waiting order that their job's lateness gives them.
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
		Worker worker = this.placement.choose(task, this.state.workers.values(), rack, now);
		if (worker == null && !rack.isEmpty()) {
			worker = this.placement.choose(task, this.state.workers.values(), ANY_RACK, now);
		}
		if (worker == null) {
			return false;
		}
		this.starts.start(task, worker, this.starts.nextRun(task), now);
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
		if (!step.tasks.stream().allMatch((task) -> task.waiting() && task.notBefore <= now)) {
			return false;
		}
		Map<Task, Worker> places = Map.of();
		if (step.spec.placement().sameRack()) {
			for (String rack : racks()) {
				places = place(step, rack, now);
				if (!places.isEmpty()) {
					break;
				}
			}
		}
		if (places.isEmpty()) {
			places = place(step, ANY_RACK, now);
		}
		int number = step.tasks.stream().mapToInt(this.starts::nextRun).max().orElse(0);
		for (Map.Entry<Task, Worker> place : places.entrySet()) {
			this.starts.start(place.getKey(), place.getValue(), number, now);
		}
		return !places.isEmpty();
	}

	private Set<String> racks() {
		Set<String> racks = new LinkedHashSet<>();
		this.state.workers.values().forEach((worker) -> racks.add(worker.listing.rack()));
		racks.remove(ANY_RACK);
		return racks;
	}

	// Reserves as it goes, so that two members do not count the same room.
	private Map<Task, Worker> place(StepState step, String rack, long now) {
		Map<Task, Worker> places = new LinkedHashMap<>();
		List<Run> reserved = new ArrayList<>();
		for (Task task : step.tasks) {
			Worker worker = this.placement.choose(task, this.state.workers.values(), rack, now);
			if (worker == null) {
				places.clear();
				break;
			}
			Run run = new Run(task, 0, worker, now);
			worker.add(run);
			reserved.add(run);
			places.put(task, worker);
		}
		reserved.forEach((run) -> run.worker.remove(run));
		return places;
	}

	/**
	 * Says what kind of VM a task needs. If one task finds none, a task of the same need
	 * that is no smaller finds none either.
	 *
	 * @param service the service whose VMs may run it
	 * @param kind whether it is best-effort or long-running
	 * @param image the image, which decides where a filling task disturbs
	 * @param placement the limits on where it may run
	 */
	private record Need(ServiceName service, String kind, String image, StepSpec.Placement placement) {

		static Need of(Task task) {
			StepSpec spec = task.spec();
			String kind = spec.traits().bestEffort() ? "filling" : String.valueOf(spec.traits().longRunning());
			return new Need(task.job.policy.service(), kind, spec.traits().bestEffort() ? spec.image() : "",
					spec.placement());
		}

		boolean comparable() {
			return this.placement.maxPerWorker() == 0 && !this.placement.sameRack();
		}

	}

}
