/**
 * Measures membership and the propagation of settings in virtual time.
 */
package io.lentilstream.benchmarks.membership;
