/**
 * Runs the request shards: requests that must not be repeated.
 */
package io.lentilstream.entry.records;
