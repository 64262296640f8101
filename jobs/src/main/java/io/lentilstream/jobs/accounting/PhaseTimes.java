package io.lentilstream.jobs.accounting;

import java.util.Arrays;
import java.util.StringJoiner;

/**
 * The time in each phase, in milliseconds.
 */
public final class PhaseTimes {

	private static final TimePhase[] PHASES = TimePhase.values();

	private final int[] millis = new int[PHASES.length];

	void add(TimePhase phase, long time) {
		this.millis[phase.ordinal()] += (int) time;
	}

	/**
	 * Returns the time in a phase.
	 * @param phase the phase
	 * @return the time in milliseconds
	 */
	public int get(TimePhase phase) {
		return this.millis[phase.ordinal()];
	}

	void move(TimePhase from, TimePhase to, int time) {
		this.millis[from.ordinal()] -= time;
		this.millis[to.ordinal()] += time;
	}

	/**
	 * Moves the times of runs that did not complete the task.
	 * @param checkpointed whether the work of the runs is kept
	 */
	void repeat(boolean checkpointed) {
		for (TimePhase phase : PHASES) {
			if (phase.partOfRun() && (!checkpointed || phase == TimePhase.STARTING)) {
				move(phase, TimePhase.AGAIN, get(phase));
			}
		}
	}

	void addAll(PhaseTimes other) {
		for (int i = 0; i < this.millis.length; i++) {
			this.millis[i] += other.millis[i];
		}
	}

	/**
	 * Adds the times to others and resets them.
	 * @param target the times to add to
	 */
	void drainTo(PhaseTimes target) {
		target.addAll(this);
		Arrays.fill(this.millis, 0);
	}

	/**
	 * Returns the time outside useful work.
	 * @return the time in milliseconds
	 */
	public int lost() {
		int sum = 0;
		for (TimePhase phase : PHASES) {
			sum += phase.work() ? 0 : get(phase);
		}
		return sum;
	}

	/**
	 * Returns the phases that took time, as in {@code room=120 full=900}.
	 */
	@Override
	public String toString() {
		StringJoiner text = new StringJoiner(" ");
		for (TimePhase phase : PHASES) {
			if (get(phase) > 0) {
				text.add(phase.logName() + "=" + get(phase));
			}
		}
		return text.toString();
	}

}
