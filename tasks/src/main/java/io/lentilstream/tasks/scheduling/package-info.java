/**
 * The task scheduler of a shard: the state of its jobs, tasks and workers, and the
 * policies and handlers that act on it.
 */
package io.lentilstream.tasks.scheduling;
