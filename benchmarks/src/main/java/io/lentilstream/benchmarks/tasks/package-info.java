/**
 * Drivers that measure the decisions for tasks.
 */
package io.lentilstream.benchmarks.tasks;
