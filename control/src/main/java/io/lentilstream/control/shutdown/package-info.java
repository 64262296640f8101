/**
 * The end of a process that is asked to stop.
 */
package io.lentilstream.control.shutdown;
