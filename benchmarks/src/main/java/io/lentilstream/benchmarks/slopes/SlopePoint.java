package io.lentilstream.benchmarks.slopes;

/**
 * Is one measured value.
 *
 * @param size the size at which the value was measured
 * @param value the value, in the unit of its slope
 */
public record SlopePoint(double size, double value) {
}
