package io.lentilstream.entry.records;

import io.lentilstream.requests.ServiceKey;

/**
 * Is a kind of deferrable requests as its driver needs it.
 *
 * @param service the service whose endpoints run the requests
 * @param timeoutMillis milliseconds that an endpoint has for one attempt
 * @param retentionMillis milliseconds that a record is kept after it was accepted
 */
public record DeferrableKind(ServiceKey service, long timeoutMillis, long retentionMillis) {
}
