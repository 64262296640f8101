package io.lentilstream.clients;

/**
 * Identifies a lease of the platform's store.
 *
 * @param value the number of the lease, from 1
 */
public record LeaseId(long value) {
}
