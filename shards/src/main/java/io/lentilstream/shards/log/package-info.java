/**
 * The write-ahead log of a shard: group commit, fencing by epoch, snapshots and recovery.
 */
package io.lentilstream.shards.log;
