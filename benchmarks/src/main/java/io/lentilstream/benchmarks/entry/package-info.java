/**
 * Measures the entry daemon as a whole.
 */
package io.lentilstream.benchmarks.entry;
