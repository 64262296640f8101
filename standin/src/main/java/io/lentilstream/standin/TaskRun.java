package io.lentilstream.standin;

import java.time.Duration;
import java.util.Optional;

import io.lentilstream.clients.TaskReport;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.VmId;

/**
 * Is one interval in which a task ran on a VM.
 *
 * @param vm the VM
 * @param from the start by the stand-in's clock
 * @param until the end, or empty while it runs
 * @param end how the run ended; {@link TaskReport.State#RUNNING} while it runs
 * @param resumedFrom the progress that the run started with
 * @param reached the progress at its end
 */
public record TaskRun(VmId vm, MonotonicTime from, Optional<MonotonicTime> until, TaskReport.State end,
		Duration resumedFrom, Duration reached) {

	/**
	 * Tells whether two runs overlap in time.
	 * @param other the other run
	 * @return {@code true} if both ran at the same time
	 */
	public boolean overlaps(TaskRun other) {
		return startsBeforeEndOf(other) && other.startsBeforeEndOf(this);
	}

	private boolean startsBeforeEndOf(TaskRun other) {
		return other.until.isEmpty() || this.from.isBefore(other.until.get());
	}

}
