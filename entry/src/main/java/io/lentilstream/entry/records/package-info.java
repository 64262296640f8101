/**
 * I/O driver of the request shards, which record requests that must run at most once.
 */
package io.lentilstream.entry.records;
