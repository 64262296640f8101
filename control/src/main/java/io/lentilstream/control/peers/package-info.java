/**
 * Frames between control processes.
 */
package io.lentilstream.control.peers;
