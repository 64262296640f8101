/**
 * Drivers that measure the request decisions in virtual time and their cost.
 */
package io.lentilstream.benchmarks.requests;
