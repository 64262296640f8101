package io.lentilstream.jobs.accounting;

/**
 * The division of a task's time into phases, from the release of its step. Each event
 * charges the time since the previous one.
 */
public final class TaskTimer {

	private static final int FULL_SPEED = 100;

	private PhaseTimes times;

	private TimePhase phase;

	private long since;

	private long endedAt = -1;

	/**
	 * Starts the timer when the task is released.
	 * @param first the phase that begins
	 * @param now the current time in milliseconds
	 */
	public void begin(TimePhase first, long now) {
		if (this.times == null) {
			this.times = new PhaseTimes();
			this.phase = first;
			this.since = now;
		}
	}

	/**
	 * Charges the time so far to the current phase and enters another.
	 * @param next the phase that begins
	 * @param now the current time in milliseconds
	 */
	public void enter(TimePhase next, long now) {
		begin(next, now);
		charge(this.phase, now);
		this.phase = next;
	}

	/**
	 * Enters the wait for room. Earlier runs count as repeated.
	 * @param checkpointed whether the work of earlier runs is kept
	 * @param now the current time in milliseconds
	 */
	public void enterWait(boolean checkpointed, long now) {
		enter(TimePhase.ROOM, now);
		this.times.repeat(checkpointed);
	}

	/**
	 * Charges the time since the previous report of a running task.
	 * @param speedPercent the share of the full speed to which the run was limited
	 * @param usedShare the used share of the requested processor time; 1 if unknown
	 * @param now the current time in milliseconds
	 */
	public void chargeRun(int speedPercent, double usedShare, long now) {
		if (this.times == null || !this.phase.partOfRun()) {
			return;
		}
		long elapsed = now - this.since;
		long paced = elapsed * (FULL_SPEED - speedPercent) / FULL_SPEED;
		long slowed = Math.max(0, elapsed - paced - (long) (elapsed * Math.min(1, usedShare)));
		this.times.add(TimePhase.PACED, paced);
		this.times.add(TimePhase.SLOWED, slowed);
		this.since += paced + slowed;
		charge(this.phase, now);
	}

	/**
	 * Stops the timer when the task is done.
	 * @param now the current time in milliseconds
	 */
	public void end(long now) {
		if (this.times != null && this.endedAt < 0) {
			charge(this.phase, now);
			this.endedAt = now;
		}
	}

	/**
	 * Adds the times up to now to others and starts from zero.
	 * @param target the times to add to
	 * @param now the current time in milliseconds
	 */
	public void drainTo(PhaseTimes target, long now) {
		if (this.times != null) {
			chargeUpTo(now);
			this.times.drainTo(target);
		}
	}

	void chargeUpTo(long now) {
		if (this.endedAt < 0) {
			charge(this.phase, now);
		}
	}

	private void charge(TimePhase charged, long now) {
		this.times.add(charged, Math.max(0, now - this.since));
		this.since = Math.max(this.since, now);
	}

	PhaseTimes times() {
		return this.times;
	}

	boolean begun() {
		return this.times != null;
	}

	long endOr(long now) {
		return (this.endedAt >= 0) ? this.endedAt : now;
	}

	int workMillis() {
		return this.times.get(TimePhase.FULL) + this.times.get(TimePhase.AWAY);
	}

}
