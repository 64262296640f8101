package io.lentilstream.jobs.sharing;

/**
 * A waiting task as an input of the shared order.
 *
 * @param <T> the type of the task
 * @param task the task
 * @param queue the queue of its job
 * @param milliCores the processor time that it requests, in thousandths of a core
 * @param jobStarted whether a task of its job runs or has ended
 * @param late whether its job can no longer be of use to its caller in time
 * @param waitingSince when the task began to wait, in milliseconds
 */
public record ShareCandidate<T>(T task, String queue, long milliCores, boolean jobStarted, boolean late,
		long waitingSince) {
}
