/**
 * Entries of the shard log about tasks, snapshots and their replay.
 */
package io.lentilstream.tasks.log;
