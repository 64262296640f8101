/**
 * Decisions on whether a task waits for a place near its data or its group.
 */
package io.lentilstream.jobs.locality;
