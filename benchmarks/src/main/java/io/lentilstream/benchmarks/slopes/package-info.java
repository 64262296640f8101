/**
 * Measures how the costs of the parts grow with their size, for the capacity page.
 */
package io.lentilstream.benchmarks.slopes;
