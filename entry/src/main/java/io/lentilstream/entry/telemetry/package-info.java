/**
 * Tracing and metrics of the entry daemon.
 */
package io.lentilstream.entry.telemetry;
