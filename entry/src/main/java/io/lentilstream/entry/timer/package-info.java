/**
 * Timers of the entry daemon.
 */
package io.lentilstream.entry.timer;
