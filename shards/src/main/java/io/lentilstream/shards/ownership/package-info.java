/**
 * Decides which shards this entry VM owns, under one store lease per process.
 */
package io.lentilstream.shards.ownership;
