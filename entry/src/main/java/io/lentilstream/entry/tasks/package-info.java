/**
 * I/O driver of the task shards.
 */
package io.lentilstream.entry.tasks;
