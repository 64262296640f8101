package io.lentilstream.jobs;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;

/**
 * The stored crashes of VMs that a task may have caused.
 *
 * @param crashes the crashes
 * @param losses the VMs that fell silent under the task and may have crashed
 * @param plannedOn the VM on which the task was about to start, after it was suspected;
 * empty if there is none
 */
public record StoredSuspicion(List<Crash> crashes, List<Loss> losses, Optional<WorkerIncarnation> plannedOn) {

	/** No crashes, no losses and no planned start. */
	public static final StoredSuspicion NONE = new StoredSuspicion(List.of(), List.of(), Optional.empty());

	/**
	 * Returns whether there is nothing to store.
	 * @return {@code true} if there are neither crashes nor losses nor a planned start
	 */
	public boolean none() {
		return this.crashes.isEmpty() && this.losses.isEmpty() && this.plannedOn.isEmpty();
	}

	/**
	 * The crash of a VM under a run.
	 *
	 * @param incarnation the incarnation that crashed
	 * @param age the age of the run when the VM crashed
	 */
	public record Crash(WorkerIncarnation incarnation, AgeRange age) {
	}

	/**
	 * The range in which the age of a run at a crash lies.
	 *
	 * @param minMillis the age when the VM last gave a sign of life, in milliseconds;
	 * negative if it gave none since the start was ordered
	 * @param maxMillis the age when the VM was first missed, in milliseconds
	 */
	public record AgeRange(long minMillis, long maxMillis) {

		/**
		 * Returns whether the run may have had the same age at both crashes.
		 * @param other the range at another crash
		 * @return {@code true} if the ranges overlap
		 */
		public boolean overlaps(AgeRange other) {
			return this.minMillis <= other.maxMillis && other.minMillis <= this.maxMillis;
		}

	}

	/**
	 * A VM that fell silent under a run until its lease had ended.
	 *
	 * @param incarnation the incarnation that fell silent
	 * @param address the address of the VM
	 * @param age the age of the run when the VM fell silent
	 * @param onTrial whether the run was started apart from other starts
	 */
	public record Loss(WorkerIncarnation incarnation, InetSocketAddress address, AgeRange age, boolean onTrial) {
	}

}
