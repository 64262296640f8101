package io.lentilstream.jobs;

import java.util.function.Consumer;

/**
 * A sender of commands to VMs. Callbacks are invoked later, on the scheduler thread.
 */
public interface WorkerCommands {

	/**
	 * Starts a run of a task.
	 * @param worker the VM
	 * @param command the start command
	 * @param callback receives the result
	 */
	void start(WorkerListing worker, StartCommand command, Consumer<CommandResult> callback);

	/**
	 * Stops a run of a task, or prevents it from starting if its start command is still
	 * in transit.
	 * @param worker the VM
	 * @param task the task
	 * @param run the number of the run
	 * @param callback receives the result
	 */
	void stop(WorkerListing worker, TaskName task, int run, Consumer<CommandResult> callback);

	/**
	 * Limits the speed of a task.
	 * @param worker the VM
	 * @param task the task
	 * @param run the number of the run
	 * @param percent the share of the full speed, from 0 to 100
	 * @param callback receives the result
	 */
	void setSpeed(WorkerListing worker, TaskName task, int run, int percent, Consumer<CommandResult> callback);

	/**
	 * Requests a report about the tasks of a VM and extends their lease. The request is a
	 * long poll.
	 * @param worker the VM
	 * @param request the report request
	 * @param callback receives the report, or the reason why there is none; never
	 * {@code null}
	 */
	void requestReport(WorkerListing worker, ReportRequest request, Consumer<ReportResult> callback);

	/**
	 * A command to start a run.
	 *
	 * @param task the task
	 * @param run the number of the run
	 * @param payload the text that is passed to the task
	 * @param checkpoint the checkpoint to resume from; empty to start from the beginning
	 * @param deadlineMillis end of the lease on the VM's monotonic clock, in milliseconds
	 */
	record StartCommand(TaskName task, int run, String payload, String checkpoint, long deadlineMillis) {
	}

	/**
	 * A request for a report.
	 *
	 * @param deadlineMillis the end of the lease on the VM's monotonic clock, in
	 * milliseconds; 0 to leave the lease unchanged
	 * @param acknowledged the highest sequence number of the ends that are stored
	 * @param waitMillis how long the VM may wait for a run to end, in milliseconds
	 */
	record ReportRequest(long deadlineMillis, long acknowledged, long waitMillis) {
	}

	/**
	 * The result of a report request.
	 */
	sealed interface ReportResult {

		/**
		 * The VM sent a report.
		 *
		 * @param report the report
		 */
		record Reported(TaskReport report) implements ReportResult {
		}

		/**
		 * The VM sent no report.
		 *
		 * @param reason the result of the request
		 */
		record Missing(CommandResult reason) implements ReportResult {
		}

	}

}
