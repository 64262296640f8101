package io.lentilstream.jobs;

import io.lentilstream.model.ServiceName;

/**
 * The policy that operators set for the jobs of a queue.
 *
 * @param service the service whose VMs run the tasks
 * @param priority the priority; 0 is the most urgent
 * @param maxAttempts the number of failures of a task after which its job fails
 * @param stretch the factor that the completion time objective applies to the estimated
 * length of the critical path
 * @param objectiveMillis the fixed part of the completion time objective, in milliseconds
 */
public record QueuePolicy(ServiceName service, int priority, int maxAttempts, double stretch, long objectiveMillis) {
}
