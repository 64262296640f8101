package io.lentilstream.standin;

import io.lentilstream.model.Resources;

/**
 * Is what one worker saw.
 *
 * @param highest the highest sum of the declared sizes of running tasks, each part on its
 * own
 * @param overCapacity whether that sum ever exceeded the VM's capacity
 * @param starts tasks that it started
 * @param fenced commands that it refused because of their epoch
 */
public record WorkerRecord(Resources highest, boolean overCapacity, long starts, long fenced) {
}
