package io.lentilstream.jobs;

import java.util.List;

/**
 * What a VM reports of its tasks.
 *
 * @param incarnationStartMillis start of the reporting incarnation, in milliseconds since
 * 1970
 * @param clockMillis the VM's steady clock, in milliseconds
 * @param running the runs at work
 * @param ended the ends that were not acknowledged yet, in order
 */
public record TaskReport(long incarnationStartMillis, long clockMillis, List<Running> running, List<Ended> ended) {

	/**
	 * A run at work.
	 *
	 * @param task the task
	 * @param run the number of the run
	 * @param checkpoint the latest checkpoint; empty if there is none
	 * @param percent progress; for a long-running task 100 when it is at work
	 * @param measurement tail of the response times in milliseconds for a task that
	 * serves, else thousandths of a core in use
	 */
	public record Running(TaskName task, int run, String checkpoint, int percent, double measurement) {
	}

	/**
	 * A run that has ended.
	 *
	 * @param number the number of the end, from 1 in each incarnation
	 * @param task the task
	 * @param run the number of the run
	 * @param outcome how it ended
	 * @param checkpoint the latest checkpoint; empty if there is none
	 */
	public record Ended(long number, TaskName task, int run, RunOutcome outcome, String checkpoint) {
	}

}
