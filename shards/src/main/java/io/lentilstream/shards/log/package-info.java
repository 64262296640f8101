/**
 * Writes and recovers the log of one shard: group commit, fencing and snapshots.
 */
package io.lentilstream.shards.log;
