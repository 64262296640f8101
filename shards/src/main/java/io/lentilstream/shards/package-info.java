/**
 * Ownership of shards and their logs.
 */
package io.lentilstream.shards;
