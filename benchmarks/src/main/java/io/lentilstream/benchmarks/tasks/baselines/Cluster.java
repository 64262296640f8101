package io.lentilstream.benchmarks.tasks.baselines;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import io.lentilstream.clients.TaskReport;
import io.lentilstream.model.Resources;

/**
 * Models the VMs, the same for every policy. A task runs slower by the overcommitted
 * processor time and by noisy neighbours. A VM that runs out of memory kills its largest
 * batch task.
 */
final class Cluster {

	static final Resources CAPACITY = new Resources(32_000, 125 * 1024, 0);

	static final int WORKERS_PER_RACK = 11;

	private static final long STEP_MILLIS = 500;

	/** How long the loss of a task takes to be noticed, and its end to be reported. */
	private static final long NOTICE_MILLIS = 50;

	private final EventQueue events;

	private final List<List<TaskRun>> vms = new ArrayList<>();

	private final Set<SimulatedTask> started = new HashSet<>();

	private final Results results;

	private Consumer<TaskRun> listener = (run) -> {
	};

	Cluster(EventQueue events, int workers, Results results) {
		this.events = events;
		this.results = results;
		for (int i = 0; i < workers; i++) {
			this.vms.add(new ArrayList<>());
		}
		events.every(STEP_MILLIS, STEP_MILLIS, () -> {
			for (List<TaskRun> vm : this.vms) {
				advance(vm);
			}
		});
	}

	/**
	 * Sets who is told that a task finished or was killed.
	 * @param ended called a little after the end
	 */
	void whenEnded(Consumer<TaskRun> ended) {
		this.listener = ended;
	}

	int workers() {
		return this.vms.size();
	}

	List<TaskRun> running(int vm) {
		return this.vms.get(vm);
	}

	TaskRun start(SimulatedTask task, Resources committed, int vm, Optional<String> checkpoint) {
		TaskRun run = new TaskRun(task, committed, vm, checkpoint, this.events.millis());
		this.vms.get(vm).add(run);
		Resources sum = this.vms.get(vm)
			.stream()
			.map((other) -> other.committed)
			.reduce(Resources.NONE, Resources::plus);
		if (!sum.fitsWithin(CAPACITY)) {
			this.results.overCommitments++;
		}
		this.results.starts++;
		if (this.started.add(task) && task.urgent()) {
			this.results.urgentStarted(this.events.millis() - task.job().arrivalMillis());
		}
		return run;
	}

	void stop(TaskRun run) {
		if (run.runs()) {
			run.end(TaskReport.State.STOPPED, this.events.millis());
			this.vms.get(run.vm).remove(run);
		}
	}

	private void advance(List<TaskRun> vm) {
		double cores = 0;
		double noise = 0;
		Map<SimulatedProgram, Double> noises = new IdentityHashMap<>();
		for (TaskRun run : vm) {
			cores += run.wantedCores();
			noise += noise(run);
			noises.merge(run.task.job().program(), noise(run), Double::sum);
		}
		double capacity = CAPACITY.milliCores() / 1000.0;
		double share = Math.min(1, capacity / Math.max(1, cores));
		double seconds = STEP_MILLIS / 1000.0;
		this.results.busy(Math.min(cores, capacity) * seconds, vm.stream().mapToLong(TaskRun::memory).sum() * seconds);
		for (TaskRun run : List.copyOf(vm)) {
			// A program does not disturb its own tasks more than its processor use does.
			double others = noise - noises.get(run.task.job().program());
			double disturbance = run.task.job().program().sensitivity() * Math.max(0, others);
			run.run(seconds, share, disturbance, this.events.millis());
			if (!run.runs()) {
				vm.remove(run);
				this.results.finished(run.task);
				this.events.after(NOTICE_MILLIS, () -> this.listener.accept(run));
			}
		}
		killForMemory(vm);
	}

	private void killForMemory(List<TaskRun> vm) {
		while (vm.stream().mapToLong(TaskRun::memory).sum() > CAPACITY.memoryMegabytes()) {
			Optional<TaskRun> largest = vm.stream()
				.filter((run) -> !run.task.urgent())
				.max(Comparator.comparingLong(TaskRun::memory));
			if (largest.isEmpty()) {
				return;
			}
			stop(largest.get());
			this.results.memoryKills++;
			this.events.after(NOTICE_MILLIS, () -> this.listener.accept(largest.get()));
		}
	}

	private static double noise(TaskRun run) {
		return run.task.job().program().noise() * run.wantedCores() * 1000 / CAPACITY.milliCores();
	}

}
