/**
 * I/O drivers of shard ownership and shard logs.
 */
package io.lentilstream.entry.shards;
