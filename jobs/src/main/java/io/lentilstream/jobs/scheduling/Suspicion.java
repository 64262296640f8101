package io.lentilstream.jobs.scheduling;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.lentilstream.jobs.StoredSuspicion;
import io.lentilstream.jobs.StoredSuspicion.AgeRange;
import io.lentilstream.jobs.StoredSuspicion.Crash;
import io.lentilstream.jobs.StoredSuspicion.Loss;
import io.lentilstream.jobs.WorkerIncarnation;

/**
 * The crashes of VMs that a task may have caused, and the VMs that fell silent under it
 * and whose fate is not known.
 */
final class Suspicion {

	/**
	 * The age of a run from which a first crash does not put its task on trial, in
	 * milliseconds, since tasks that crash their VM mostly do so when they start.
	 */
	private static final long YOUNG_MILLIS = 500;

	/** The age up to which a run has crashed its VM by its start, in milliseconds. */
	private static final long PROMPT_MILLIS = 200;

	/**
	 * How much longer than at the earlier crashes a run has to last to pass a trial, in
	 * milliseconds.
	 */
	private static final long TRIAL_MARGIN_MILLIS = 400;

	/** The crashed VMs, with the age of the run at the crash. */
	private final Map<WorkerIncarnation, AgeRange> crashes = new LinkedHashMap<>();

	private final Map<WorkerIncarnation, Loss> losses = new LinkedHashMap<>();

	/** Whether a run has lasted longer than those that were lost in crashes. */
	private boolean trialPassed;

	/**
	 * The VM for which a predecessor planned a start; {@code null} if it did not.
	 */
	private WorkerIncarnation predecessorsPlan;

	void restore(StoredSuspicion stored) {
		stored.crashes().forEach((crash) -> this.crashes.put(crash.incarnation(), crash.age()));
		stored.losses().forEach(this::addLoss);
		this.predecessorsPlan = stored.plannedOn().orElse(null);
	}

	StoredSuspicion toStore(SuspectStarter.PlannedStart plan) {
		List<Crash> stored = new ArrayList<>();
		this.crashes.forEach((incarnation, age) -> stored.add(new Crash(incarnation, age)));
		return new StoredSuspicion(stored, List.copyOf(this.losses.values()),
				Optional.ofNullable((plan != null) ? plan.incarnation : this.predecessorsPlan));
	}

	void addCrash(WorkerIncarnation incarnation, AgeRange age) {
		this.losses.remove(incarnation);
		if (this.crashes.putIfAbsent(incarnation, age) == null) {
			this.trialPassed = false;
		}
	}

	void clearCrashes() {
		this.crashes.clear();
	}

	void addLoss(Loss loss) {
		if (!this.crashes.containsKey(loss.incarnation())) {
			this.losses.put(loss.incarnation(), loss);
		}
	}

	void removeLoss(WorkerIncarnation incarnation) {
		this.losses.remove(incarnation);
	}

	/**
	 * Returns the losses of VMs at an address.
	 * @param address the address
	 * @return a copy
	 */
	List<Loss> lossesAt(InetSocketAddress address) {
		return this.losses.values().stream().filter((loss) -> loss.address().equals(address)).toList();
	}

	Loss loss(WorkerIncarnation incarnation) {
		return this.losses.get(incarnation);
	}

	boolean mayHaveBeenPlannedOn(WorkerIncarnation incarnation) {
		return incarnation.equals(this.predecessorsPlan);
	}

	void forgetPredecessorsPlan() {
		this.predecessorsPlan = null;
	}

	void clear() {
		clearCrashes();
		this.losses.clear();
	}

	boolean none() {
		return this.crashes.isEmpty() && this.losses.isEmpty();
	}

	/**
	 * Tells whether the task may have crashed a number of VMs, which is not certain.
	 * @param count the number of VMs
	 * @return {@code true} if enough VMs have crashed or are silent
	 */
	boolean mayHaveCrashed(int count) {
		return !this.losses.isEmpty() && this.crashes.size() + this.losses.size() >= count;
	}

	Map<WorkerIncarnation, AgeRange> crashes() {
		return Collections.unmodifiableMap(this.crashes);
	}

	/**
	 * Tells whether the next run of the task has to be a trial.
	 * @return {@code true} if it must start apart from other starts
	 */
	boolean needsTrial() {
		return !this.trialPassed && (this.crashes.size() > 1
				|| this.crashes.values().stream().anyMatch((age) -> age.minMillis() < YOUNG_MILLIS));
	}

	/**
	 * Returns how long a run has to last to pass a trial.
	 * @return the time in milliseconds
	 */
	long trialMillis() {
		long oldest = this.crashes.values().stream().mapToLong(AgeRange::maxMillis).max().orElse(0);
		return TRIAL_MARGIN_MILLIS + oldest;
	}

	/**
	 * Tells whether all VMs may have crashed at the same age of the task's run.
	 * @return {@code true} if the ranges of the ages overlap
	 */
	boolean consistent() {
		return this.crashes.values().stream().allMatch((age) -> this.crashes.values().stream().allMatch(age::overlaps));
	}

	/**
	 * Counts the VMs that crashed certainly after they were told to start the task.
	 * @return the number of crashes
	 */
	long certainCrashes() {
		return this.crashes.values().stream().filter((age) -> age.minMillis() >= 0).count();
	}

	/**
	 * Tells whether each VM was up when it was told to start the task and crashed at
	 * once.
	 * @return {@code true} if each run was the likely cause
	 */
	boolean prompt() {
		return this.crashes.values()
			.stream()
			.allMatch((age) -> age.minMillis() >= 0 && age.maxMillis() < PROMPT_MILLIS);
	}

	void passTrial() {
		this.trialPassed = true;
	}

}
