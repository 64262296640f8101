package io.lentilstream.jobs;

import java.util.function.Consumer;

/**
 * Sends commands to VMs. Results arrive later, on the thread of the scheduler.
 */
public interface WorkerCommands {

	/**
	 * Starts a run of a task.
	 * @param worker where
	 * @param order what
	 * @param answer gets the outcome
	 */
	void start(WorkerListing worker, StartCommand order, Consumer<CommandResult> answer);

	/**
	 * Stops a run of a task, or prevents it from starting.
	 * @param worker where
	 * @param task the task
	 * @param run the number of the run
	 * @param answer gets the outcome
	 */
	void stop(WorkerListing worker, TaskName task, int run, Consumer<CommandResult> answer);

	/**
	 * Sets the share of its speed at which a task works.
	 * @param worker where
	 * @param task the task
	 * @param run the number of the run
	 * @param percent the share, 0 to 100
	 * @param answer gets the outcome
	 */
	void setSpeed(WorkerListing worker, TaskName task, int run, int percent, Consumer<CommandResult> answer);

	/**
	 * Requests a report of the tasks of a VM and extends their lease. This is a long
	 * poll.
	 * @param worker where
	 * @param order the deadline, acknowledgement and waiting time
	 * @param answer gets the report, or {@code null} if there was none
	 */
	void requestReport(WorkerListing worker, ReportRequest order, Consumer<ReportResult> answer);

	/**
	 * A command to start a run.
	 *
	 * @param task the task
	 * @param run the number of the run
	 * @param payload the text that the task receives
	 * @param checkpoint where to resume; empty to start afresh
	 * @param deadlineMillis end of the lease on the VM's steady clock, in milliseconds
	 */
	record StartCommand(TaskName task, int run, String payload, String checkpoint, long deadlineMillis) {
	}

	/**
	 * Asks for a report.
	 *
	 * @param deadlineMillis end of the lease on the VM's steady clock, in milliseconds; 0
	 * to leave it as it is
	 * @param acknowledged the highest number of an end that is stored
	 * @param waitMillis how long the answer may wait for an end, in milliseconds
	 */
	record ReportRequest(long deadlineMillis, long acknowledged, long waitMillis) {
	}

	/**
	 * The result of a report request.
	 */
	sealed interface ReportResult {

		/**
		 * The VM reports its tasks.
		 *
		 * @param report the report
		 */
		record Reported(TaskReport report) implements ReportResult {
		}

		/**
		 * There is no report.
		 *
		 * @param reason why
		 */
		record Missing(CommandResult reason) implements ReportResult {
		}

	}

}
