package io.lentilstream.jobs.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.lentilstream.jobs.StepSpec;
import io.lentilstream.jobs.accounting.TimePhase;
import io.lentilstream.model.Resources;
import io.lentilstream.model.ServiceName;

/**
 * Goes through the waiting tasks in order and starts those that fit. A step that does not
 * fit is skipped, so that it does not block smaller tasks behind it. The members of a
 * gang start together or not at all.
 */
final class PlacementPass {

	private static final String ANY_RACK = "";

	/**
	 * The number of start commands in flight from which a pass starts no further tasks,
	 * so that tasks that become ready meanwhile do not wait behind them.
	 */
	private static final int MAX_STARTS_IN_FLIGHT = 512;

	private final SchedulerState state;

	private final WorkerSelector workerSelector;

	private final RunStarter runStarter;

	private final SuspectStarter suspectStarter;

	private final PlaceWaitTracker placeWaits;

	private final PlacementOrder placementOrder;

	/**
	 * The capacity kept during a pass for tasks whose occurrence is being recorded, so
	 * that tasks behind them do not take it.
	 */
	private final List<Run> reserved = new ArrayList<>();

	private final Map<StepState, Map<Integer, StepCandidates>> candidates = new HashMap<>();

	private long passNumber;

	/** When the next pass may begin, in milliseconds. */
	private long nextPassAt = Long.MIN_VALUE;

	PlacementPass(SchedulerState state, WorkerSelector workerSelector, RunStarter runStarter,
			SuspectStarter suspectStarter, PlaceWaitTracker placeWaits) {
		this.state = state;
		this.placeWaits = placeWaits;
		this.placementOrder = new PlacementOrder(state);
		this.suspectStarter = suspectStarter;
		this.workerSelector = workerSelector;
		this.runStarter = runStarter;
	}

	/**
	 * Starts the waiting tasks for which there is capacity. Passes take half of the
	 * processor time at most, so that reports and the renewal of the leader's lease are
	 * not delayed while thousands of tasks wait.
	 * @param now the current time in milliseconds
	 */
	void run(long now) {
		if (now < this.nextPassAt) {
			return;
		}
		this.suspectStarter.discardEnded(now);
		this.state.taskFeeder.feed();
		place(now);
		this.reserved.forEach((run) -> run.worker.remove(run));
		this.reserved.clear();
		this.candidates.clear();
		this.placeWaits.endPass(now);
		long end = this.state.now();
		this.nextPassAt = end + (end - now);
	}

	private void place(long now) {
		this.passNumber++;
		Map<Requirements, Resources> refusedSizes = new HashMap<>();
		for (Task task : this.placementOrder.waitingTasks(now)) {
			if (this.state.startsInFlight >= MAX_STARTS_IN_FLIGHT) {
				return;
			}
			if (task.notBefore > now || !this.state.waiting.contains(task)
					|| this.state.firstStartDebouncer.defers(task, now)) {
				continue;
			}
			int concessions = task.spec().traits().gang() ? 0 : this.workerSelector.concessions(task, now);
			if (task.step.refusedInPass(this.passNumber, task.hasRunBefore, concessions)) {
				continue;
			}
			if (SuspectStarter.handles(task)) {
				this.suspectStarter.advance(task, now);
				continue;
			}
			Requirements requirements = Requirements.of(task, concessions);
			if (refused(requirements, task, refusedSizes)
					|| requirements.members() > 0 && refused(requirements.ofMember(), task, refusedSizes)) {
				continue;
			}
			Outcome outcome = task.spec().traits().gang() ? startGang(task.step, now) : start(task, concessions, now);
			if (outcome == Outcome.WAITS_FOR_PLACE) {
				continue;
			}
			if (outcome == Outcome.STARTED || outcome == Outcome.NOT_RECORDED && !task.spec().traits().gang()) {
				continue;
			}
			task.step.refuseInPass(this.passNumber, task.hasRunBefore, concessions);
			if (outcome == Outcome.NO_CAPACITY && requirements.comparable()) {
				refusedSizes.put(requirements, task.spec().size());
			}
		}
	}

	private static boolean refused(Requirements requirements, Task task, Map<Requirements, Resources> refusedSizes) {
		Resources smallestRefused = refusedSizes.get(requirements);
		return smallestRefused != null && smallestRefused.fitsWithin(task.spec().size());
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

	private Outcome start(Task task, int concessions, long now) {
		Worker worker = choose(task, concessions, now);
		if (worker == null) {
			this.placeWaits.refused(task);
			return Outcome.NO_CAPACITY;
		}
		if (this.placeWaits.waits(task, worker, now)) {
			this.state.recordBeforeFirstStart(task);
			return Outcome.WAITS_FOR_PLACE;
		}
		if (!this.state.recordBeforeFirstStart(task)) {
			reserve(task, worker, now);
			return Outcome.NOT_RECORDED;
		}
		this.placeWaits.started(task, worker, now);
		this.runStarter.start(task, worker, this.runStarter.nextRunNumber(task), now);
		return Outcome.STARTED;
	}

	private Worker choose(Task task, int concessions, long now) {
		Collection<Worker> workers = this.state.workers.values();
		if (StepCandidates.suits(task)) {
			return this.candidates.computeIfAbsent(task.step, (step) -> new HashMap<>())
				.computeIfAbsent(concessions, (key) -> new StepCandidates(this.workerSelector, task, workers, now))
				.best(task, now);
		}
		String rack = task.spec().placement().sameRack() ? rackOf(task.step) : ANY_RACK;
		Worker worker = this.workerSelector.choose(task, workers, rack, now);
		if (worker == null && !rack.isEmpty()) {
			worker = this.workerSelector.choose(task, workers, ANY_RACK, now);
		}
		return worker;
	}

	private static String rackOf(StepState step) {
		for (Task task : step.tasks()) {
			if (!task.runs.isEmpty()) {
				return task.runs.get(0).worker.listing.rack();
			}
		}
		return ANY_RACK;
	}

	private void reserve(Task task, Worker worker, long now) {
		task.timer.enter(TimePhase.STORING, now);
		this.reserved.add(addReservation(task, worker, now));
	}

	private static Run addReservation(Task task, Worker worker, long now) {
		Run run = new Run(task, 0, worker, now);
		worker.add(run);
		return run;
	}

	private Outcome startGang(StepState step, long now) {
		if (!step.tasks().stream().allMatch((task) -> task.startable() && task.notBefore <= now)) {
			return Outcome.NOT_READY;
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
		if (assignments.isEmpty()) {
			return Outcome.NO_CAPACITY;
		}
		if (!this.state.recordBeforeFirstStart(step.task(0))) {
			assignments.forEach((member, worker) -> reserve(member, worker, now));
			return Outcome.NOT_RECORDED;
		}
		int number = step.tasks().stream().mapToInt(this.runStarter::nextRunNumber).max().orElse(0);
		for (Map.Entry<Task, Worker> assignment : assignments.entrySet()) {
			this.runStarter.start(assignment.getKey(), assignment.getValue(), number, now);
		}
		return Outcome.STARTED;
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
		List<Run> members = new ArrayList<>();
		for (Task task : step.tasks()) {
			Worker worker = this.workerSelector.choose(task, this.state.workers.values(), rack, now);
			if (worker == null) {
				assignments.clear();
				break;
			}
			members.add(addReservation(task, worker, now));
			assignments.put(task, worker);
		}
		members.forEach((run) -> run.worker.remove(run));
		return assignments;
	}

	/**
	 * The outcome of an attempt to start a task or gang.
	 */
	private enum Outcome {

		/** Commands were sent. */
		STARTED,

		/** No VM has capacity for the task, or not all members of the gang fit. */
		NO_CAPACITY,

		/** Members of the gang cannot start yet. */
		NOT_READY,

		/** There is capacity, but waiting for a place near the data pays. */
		WAITS_FOR_PLACE,

		/**
		 * Capacity is reserved, but the occurrence has to be recorded in the store first.
		 */
		NOT_RECORDED

	}

	/**
	 * The requirements of a task on its VM, or of a gang on the VMs of its members. If no
	 * VM fits a task, then none fits a task with the same requirements that is at least
	 * as large; the same holds for gangs with the same number of members.
	 *
	 * @param service the service whose VMs may run the task
	 * @param members the number of members of a gang; 0 for a single task
	 * @param kind whether the task is best-effort, long-running or the restart of a
	 * long-running task, which may take VMs that are closed to first starts
	 * @param image the image of a best-effort task, which determines where it interferes;
	 * empty for other tasks
	 * @param placement the placement constraints
	 * @param concessions the restrictions that do not apply
	 */
	private record Requirements(ServiceName service, int members, String kind, String image,
			StepSpec.Placement placement, int concessions) {

		static Requirements of(Task task, int concessions) {
			StepSpec spec = task.spec();
			int members = spec.traits().gang() ? spec.count() : 0;
			return new Requirements(task.job.policy.service(), members, kind(task),
					spec.traits().bestEffort() ? spec.image() : "", spec.placement(), concessions);
		}

		private static String kind(Task task) {
			if (task.spec().traits().bestEffort()) {
				return "best-effort";
			}
			if (!task.spec().traits().longRunning()) {
				return "short";
			}
			return task.hasRunBefore ? "long-running restart" : "long-running first start";
		}

		Requirements ofMember() {
			return new Requirements(this.service, 0, this.kind, this.image, this.placement, this.concessions);
		}

		boolean comparable() {
			return this.placement.maxPerWorker() == 0 && !this.placement.sameRack();
		}

	}

}
