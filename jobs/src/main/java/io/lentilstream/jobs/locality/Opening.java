package io.lentilstream.jobs.locality;

/**
 * The expected time at which a place becomes free.
 *
 * @param vm the name of the VM
 * @param at the expected time, in milliseconds
 * @param highAt the time that a place that becomes free late takes, in milliseconds
 */
public record Opening(String vm, long at, long highAt) {
}
