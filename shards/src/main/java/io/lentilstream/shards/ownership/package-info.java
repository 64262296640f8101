/**
 * Shard ownership of the entry VMs, based on one store lease per process.
 */
package io.lentilstream.shards.ownership;
