/**
 * Benchmarks and load generator.
 */
package io.lentilstream.benchmarks;
