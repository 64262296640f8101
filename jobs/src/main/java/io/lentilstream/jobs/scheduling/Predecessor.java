package io.lentilstream.jobs.scheduling;

/**
 * What a scheduler knows about the end of its predecessor.
 *
 * @param endedBy the time by which a successor was elected, on the monotonic clock in
 * milliseconds
 * @param leaseExpired whether the lease of the predecessor ran out, so that it did not
 * outlast its leadership; {@code false} if it may have been ended early
 */
public record Predecessor(long endedBy, boolean leaseExpired) {
}
