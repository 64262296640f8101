package io.lentilstream.control.api;

import io.lentilstream.jobs.QueuePolicy;

/**
 * Says which requests go to a queue.
 *
 * @param queue the name of the queue
 * @param host the host that requests name, in lower case
 * @param prefix the beginning of the path
 * @param policy the policy of the queue
 */
public record QueueRoute(String queue, String host, String prefix, QueuePolicy policy) {
}
