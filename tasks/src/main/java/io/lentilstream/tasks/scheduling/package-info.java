/**
 * State of a shard's jobs, tasks and workers, and one class per rule about them.
 */
package io.lentilstream.tasks.scheduling;
