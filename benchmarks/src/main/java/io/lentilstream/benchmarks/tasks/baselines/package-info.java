/**
 * Batch throughput and evictions of the task decisions against two simple policies.
 */
package io.lentilstream.benchmarks.tasks.baselines;
