package io.lentilstream.jobs;

import java.util.List;

/**
 * The report of a VM about its tasks.
 *
 * @param incarnationStartMillis when the reporting incarnation started, in milliseconds
 * since 1970
 * @param clockMillis reading of the VM's monotonic clock, in milliseconds
 * @param running the runs that are in progress
 * @param ended the ended runs without acknowledgement, in the order of their numbers
 * @param moreEnds whether later ends may have been left out, since there are more of them
 * than a report lists
 */
public record TaskReport(long incarnationStartMillis, long clockMillis, List<Running> running, List<Ended> ended,
		boolean moreEnds) {

	/**
	 * A run that is in progress.
	 *
	 * @param task the task
	 * @param run the number of the run
	 * @param checkpoint the latest checkpoint; empty if there is none
	 * @param percent the progress in percent; 100 for a long-running task that is working
	 * @param measurement the tail latency in milliseconds if the task serves requests,
	 * otherwise the processor time in use, in thousandths of a core
	 */
	public record Running(TaskName task, int run, String checkpoint, int percent, double measurement) {
	}

	/**
	 * A run that has ended.
	 *
	 * @param number the sequence number of the end, starting at 1 in each incarnation
	 * @param task the task
	 * @param run the number of the run
	 * @param outcome the outcome of the run
	 * @param checkpoint the latest checkpoint; empty if there is none
	 */
	public record Ended(long number, TaskName task, int run, RunOutcome outcome, String checkpoint) {
	}

}
