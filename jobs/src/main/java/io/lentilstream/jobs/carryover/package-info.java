/**
 * Knowledge that a leader hands over to its successor.
 */
package io.lentilstream.jobs.carryover;
