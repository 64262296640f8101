package io.lentilstream.jobs;

import io.lentilstream.model.ServiceName;

/**
 * The operators' policy for the jobs of one queue.
 *
 * @param service the service whose VMs run the tasks
 * @param priority 0 is the most urgent
 * @param maxAttempts how often a task may fail before its job fails
 * @param stretch the objective's factor on the longest chain of work
 * @param objectiveMillis the objective's fixed part, in milliseconds
 */
public record QueuePolicy(ServiceName service, int priority, int maxAttempts, double stretch, long objectiveMillis) {
}
