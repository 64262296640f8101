package io.lentilstream.control.api;

import io.lentilstream.jobs.QueuePolicy;

/**
 * A rule that maps requests to a queue.
 *
 * @param queue the name of the queue
 * @param host the host of the requests, in lower case
 * @param prefix the prefix of the path
 * @param policy the policy of the queue
 */
public record QueueRoute(String queue, String host, String prefix, QueuePolicy policy) {
}
