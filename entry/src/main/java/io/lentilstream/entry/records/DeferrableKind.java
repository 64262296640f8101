package io.lentilstream.entry.records;

import io.lentilstream.requests.ServiceKey;

/**
 * The settings of a kind of deferrable requests.
 *
 * @param service the service whose endpoints run the requests
 * @param timeoutMillis the timeout of one attempt at an endpoint, in milliseconds
 * @param retentionMillis the retention of a record after its acceptance, in milliseconds
 */
public record DeferrableKind(ServiceKey service, long timeoutMillis, long retentionMillis) {
}
