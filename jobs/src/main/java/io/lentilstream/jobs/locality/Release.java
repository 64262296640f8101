package io.lentilstream.jobs.locality;

import io.lentilstream.model.Resources;

/**
 * An expected release of resources on a VM.
 *
 * @param at the expected time, in milliseconds
 * @param highAt the time at which the release is late by the known spread, in
 * milliseconds; at least the expected time
 * @param resources the resources that become free
 */
public record Release(long at, long highAt, Resources resources) {
}
