/**
 * Measures shard ownership, the shard log and the request records in virtual time.
 */
package io.lentilstream.benchmarks.shards;
