/**
 * Carries out the decisions about ownership and shard logs.
 */
package io.lentilstream.entry.shards;
