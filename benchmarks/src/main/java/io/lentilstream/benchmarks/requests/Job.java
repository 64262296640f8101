package io.lentilstream.benchmarks.requests;

/**
 * Is one request of a workload with everything that does not depend on the scheduler.
 *
 * @param index the position in the workload, in the order of arrival
 * @param arrivalNanos the intended arrival
 * @param deadlineNanos the deadline
 * @param urgent whether the request is urgent; others are batch
 * @param straggler whether the request runs many times longer than the rest
 * @param serviceNanos the run time at an endpoint of normal speed
 * @param entry the entry VM that the load balancer picks
 * @param pick a random number that the baselines choose endpoints with
 */
record Job(int index, long arrivalNanos, long deadlineNanos, boolean urgent, boolean straggler, long serviceNanos,
		int entry, long pick) {
}
