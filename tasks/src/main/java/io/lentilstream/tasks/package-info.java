/**
 * The scheduling of the jobs and tasks of a shard, seen from its callers.
 */
package io.lentilstream.tasks;
