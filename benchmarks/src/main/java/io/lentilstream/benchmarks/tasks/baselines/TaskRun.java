package io.lentilstream.benchmarks.tasks.baselines;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

import io.lentilstream.clients.TaskReport;
import io.lentilstream.model.Resources;

/**
 * Is one attempt of a task on a VM. Progress is in seconds of an undisturbed run.
 */
final class TaskRun {

	/** Time to start a program and to load its checkpoint. */
	private static final double STARTUP_SECONDS = 2;

	/** Programs save checkpoints by themselves at this distance of progress. */
	private static final double OWN_CHECKPOINT_SECONDS = 60;

	/** A task starts with this share of its memory and reaches the rest while it runs. */
	private static final double INITIAL_MEMORY = 0.4;

	private static final double MEMORY_GROWTH_SECONDS = 20;

	private static final long REPORT_LAG_MILLIS = 4000;

	final SimulatedTask task;

	final Resources committed;

	final int vm;

	final long startedMillis;

	TaskReport.State state = TaskReport.State.RUNNING;

	/** Largest processor use, as a share of the committed cores. */
	double limit = Double.POSITIVE_INFINITY;

	long endedMillis;

	private double progress;

	private double savedProgress;

	private double ranSeconds;

	private final Deque<Sample> samples = new ArrayDeque<>();

	TaskRun(SimulatedTask task, Resources committed, int vm, Optional<String> checkpoint, long now) {
		this.task = task;
		this.committed = committed;
		this.vm = vm;
		this.startedMillis = now;
		this.progress = checkpoint.map(Double::parseDouble).orElse(0.0);
		this.savedProgress = this.progress;
	}

	double wantedCores() {
		return Math.min(this.task.real().milliCores(), this.limit * this.committed.milliCores()) / 1000;
	}

	long memory() {
		double share = Math.min(1, INITIAL_MEMORY + (1 - INITIAL_MEMORY) * this.ranSeconds / MEMORY_GROWTH_SECONDS);
		return Math.round(share * this.task.real().memoryMegabytes());
	}

	/**
	 * Runs for a while.
	 * @param seconds the time
	 * @param coreShare the share of the wanted processor time that the task gets
	 * @param disturbance the extra run time caused by neighbours
	 * @param now the time at the end, in milliseconds
	 */
	void run(double seconds, double coreShare, double disturbance, long now) {
		double throttled = wantedCores() * 1000 / this.task.real().milliCores();
		double slowdown = (1 + disturbance) / coreShare;
		this.ranSeconds += seconds;
		if (this.ranSeconds > STARTUP_SECONDS) {
			this.progress += seconds * throttled / slowdown;
		}
		if (this.progress - this.savedProgress >= OWN_CHECKPOINT_SECONDS) {
			this.savedProgress = this.progress;
		}
		Resources used = new Resources(Math.round(wantedCores() * coreShare * 1000), memory(), 0);
		this.samples.addLast(new Sample(now, used, slowdown));
		while (this.samples.size() > 1 && now - this.samples.peekFirst().time > 2 * REPORT_LAG_MILLIS) {
			this.samples.removeFirst();
		}
		if (this.progress >= this.task.runSeconds()) {
			end(TaskReport.State.DONE, now);
		}
	}

	void end(TaskReport.State ended, long now) {
		this.state = ended;
		this.endedMillis = now;
	}

	boolean runs() {
		return this.state == TaskReport.State.RUNNING;
	}

	void saveCheckpoint() {
		this.savedProgress = this.progress;
	}

	Optional<String> checkpoint() {
		return (this.savedProgress > 0) ? Optional.of(Double.toString(this.savedProgress)) : Optional.empty();
	}

	/**
	 * Returns the newest measurement that has left the worker.
	 * @param now the present time in milliseconds
	 * @return the measurement, which lags behind; empty for a task that was just started
	 */
	Optional<Sample> reported(long now) {
		Sample newest = null;
		for (Sample sample : this.samples) {
			if (now - sample.time >= REPORT_LAG_MILLIS) {
				newest = sample;
			}
		}
		return Optional.ofNullable(newest);
	}

	record Sample(long time, Resources used, double slowdown) {
	}

}
