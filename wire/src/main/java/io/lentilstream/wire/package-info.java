/**
 * Frames between entry VMs.
 */
package io.lentilstream.wire;
