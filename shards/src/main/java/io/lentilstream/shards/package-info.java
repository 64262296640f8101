/**
 * Shard ownership and shard logs, with the store access that both share.
 */
package io.lentilstream.shards;
