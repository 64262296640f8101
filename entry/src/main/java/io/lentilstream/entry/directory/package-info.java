/**
 * Reads the list of VMs and passes on what changed.
 */
package io.lentilstream.entry.directory;
