/**
 * Scheduling of urgent, deferrable and batch requests: admission, queueing, routing,
 * retries and graceful drain.
 */
package io.lentilstream.requests;
